// Both deployments of the first users under load: latency, headroom, drain
// time, goodput at three times capacity, and the loss of a zone. Prints one
// table; it is a measurement and sets no bounds.
#include <cstdlib>
#include <iostream>
#include <thread>

#include <boost/json.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include "bench/deployments/load.hpp"
#include "harness/cluster.hpp"

namespace
{

using namespace waxwingvalve;
using bench::load_result;
using bench::request_class;
using std::chrono::milliseconds;
namespace json = boost::json;

constexpr std::uint64_t seed = 20'261'204;
// Long enough that a machine with other work still serves whole capacity.
constexpr int service_ms = 200;
constexpr milliseconds phase_time{4000};

void print(std::string_view what, const std::string& figure)
{
    fmt::print(std::cout, "{:<46} {}\n", what, figure);
    std::cout.flush();
}

// The service's record with the priorities of its three operations.
std::string record_of(
    const harness::cluster& cluster, const harness::service_layout& service)
{
    auto out = json::parse(cluster.service_record(service.name)).as_object();
    auto& operations = out.at("operations").as_array();
    operations.push_back(
        {{"name", "availability"},
         {"method", "GET"},
         {"path_prefix", "/availability"},
         {"priority", "interactive"}});
    operations.push_back(
        {{"name", "lineage"},
         {"method", "GET"},
         {"path_prefix", "/lineage"},
         {"priority", "background"}});
    return json::serialize(out);
}

class deployment_bench
{
public:
    explicit deployment_bench(harness::layout shape)
        : cluster_{std::move(shape)}, service_{
                                          cluster_.shape().services.front()}
    {
    }

    bool run()
    {
        print("deployment", cluster_.shape().name);
        if (!start())
        {
            print("start", "failed");
            return false;
        }
        send("warm-up", 0.5);
        report_latency(send("latency at 50%", 0.5));
        report_latency(send("latency at 80%", 0.8));
        const auto full = send("full load", 1.0);
        const auto over = send("three times capacity", 3.0);
        report_overload(full, over);
        drain_worker();
        lose_zone();
        report_concurrency();
        return true;
    }

private:
    bool start()
    {
        cluster_.start_platform();
        cluster_.start_upstreams();
        cluster_.start_daemons();
        auto revision = cluster_.accept_record(cluster_.deployment_record());
        for (const auto& service : cluster_.shape().services)
        {
            revision = cluster_.accept_record(record_of(cluster_, service));
        }
        for (const auto& one : cluster_.workers())
        {
            cluster_.set_faults(
                one.address,
                json::serialize(json::object{{"service_ms", service_ms}}));
        }
        return revision != 0 && cluster_.wait_for_revision(revision);
    }

    // Requests a second that all slots of the service can serve.
    double capacity() const
    {
        constexpr double ms_per_s = 1000;
        return service_.workers * service_.slots * ms_per_s / service_ms;
    }

    load_result send(std::string_view phase, double share)
    {
        const bench::load_plan plan{
            service_.name,
            service_.filing_prefix,
            bench::targets_of(cluster_, service_.name),
            share * capacity(),
            phase_time};
        auto out = bench::run_load(plan, random_);
        print(
            phase,
            fmt::format(
                "sent {} done {} refused {} lost {} goodput {:.0f}/s of {:.0f}",
                out.sent(),
                out.done(),
                out.refused(),
                out.lost(),
                out.done_per_second(),
                capacity()));
        return out;
    }

    static void report_latency(const load_result& from)
    {
        print(
            "  p50, p99 over the worker's own time",
            fmt::format(
                "{:.1f} ms, {:.1f} ms",
                from.percentile_ms(0.50) - service_ms,
                from.percentile_ms(0.99) - service_ms));
    }

    static void report_overload(
        const load_result& full, const load_result& over)
    {
        const auto peak = std::max(full.done_per_second(), 1.0);
        print(
            "  goodput at three times, of that at full load",
            fmt::format("{:.0f}%", 100 * over.done_per_second() / peak));
        for (const auto what :
             {request_class::filing,
              request_class::availability,
              request_class::lineage})
        {
            print(
                fmt::format(
                    "  served at three times, {}",
                    bench::class_names.at(static_cast<std::size_t>(what))),
                fmt::format("{:.0f}%", 100 * over.share_done(what)));
        }
    }

    // A worker says by its health endpoint that it drains, under load.
    void drain_worker()
    {
        const auto worker = cluster_.workers().front().address;
        std::int64_t asked_us{};
        std::thread asks{
            [&]
            {
                std::this_thread::sleep_for(phase_time / 4);
                asked_us =
                    std::chrono::duration_cast<std::chrono::microseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
                cluster_.set_faults(worker, R"({"draining":true})");
            }};
        send("drain of a worker at 50%", 0.5);
        asks.join();
        report_drain(worker, asked_us);
        cluster_.set_faults(worker, R"({"draining":false})");
        std::this_thread::sleep_for(std::chrono::seconds{1});
    }

    void report_drain(const base::endpoint& worker, std::int64_t asked_us)
    {
        const auto told = cluster_.get_json(worker, "/control");
        std::int64_t last_us{asked_us};
        int cut{0};
        for (const auto& run : told.at("runs").as_array())
        {
            const auto ended = run.at("ended_us").to_number<std::int64_t>();
            last_us = std::max(last_us, ended);
            cut += ended == 0 ? 1 : 0;
        }
        print(
            "  last request ended after the drain began by",
            fmt::format("{} ms, cut {}", (last_us - asked_us) / 1000, cut));
    }

    void lose_zone()
    {
        const auto& lost = cluster_.shape().zones.back().name;
        for (const auto& entry : cluster_.entries())
        {
            if (entry.zone == lost)
            {
                cluster_.daemon(entry.name).kill();
            }
        }
        const auto out = send("one zone of six lost, at 80%", 0.8);
        print(
            "  refusals per admitted request",
            fmt::format(
                "{:.4f}",
                double(out.refused()) /
                    double(std::max<std::uint64_t>(out.done(), 1))));
    }

    void report_concurrency()
    {
        std::int64_t over{0};
        std::int64_t refused{0};
        for (const auto& one : cluster_.workers())
        {
            const auto told = cluster_.get_json(one.address, "/control");
            const auto at_once =
                told.at("highest_running").to_number<std::int64_t>();
            refused += told.at("refused_over_slots").to_number<std::int64_t>();
            over += at_once > std::int64_t{one.slots} ? 1 : 0;
        }
        print(
            "workers over their slots, refusals over slots",
            fmt::format("{}, {}", over, refused));
    }

    harness::cluster cluster_;
    harness::service_layout service_;
    std::mt19937_64 random_{seed};
};

} // namespace

int main()
{
    fmt::print(std::cout, "seed {}\n", seed);
    for (const auto& shape : {harness::authority(), harness::khwai()})
    {
        if (!deployment_bench{shape}.run())
        {
            return EXIT_FAILURE;
        }
        std::cout << '\n';
    }
    return EXIT_SUCCESS;
}
