#include "bench/deployments/load.hpp"

#include <algorithm>
#include <map>
#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "base/time.hpp"
#include "net/http_client.hpp"

namespace waxwingvalve::bench
{
namespace
{

namespace asio = boost::asio;
using base::monotonic_clock;

constexpr std::chrono::seconds call_timeout{4};
// Shares of filings and of availability checks; the rest are lineage reads.
constexpr double filing_share = 0.2;
constexpr double availability_share = 0.4;

std::uint64_t next_key{0};

class load_run
{
public:
    load_run(const load_plan& plan, std::mt19937_64& random)
        : plan_{plan}, random_{random}
    {
    }

    load_result run()
    {
        asio::co_spawn(context_, arrive(), asio::detached);
        context_.run();
        result_.seconds = std::chrono::duration<double>(plan_.time).count();
        return std::move(result_);
    }

private:
    using connection = std::unique_ptr<net::http_connection>;

    asio::awaitable<void> arrive()
    {
        asio::steady_timer timer{context_};
        std::exponential_distribution<double> gap{plan_.requests_per_second};
        auto next = monotonic_clock::now();
        const auto end = next + plan_.time;
        while (next < end)
        {
            timer.expires_at(next);
            co_await timer.async_wait(asio::use_awaitable);
            asio::co_spawn(context_, ask(draw_class()), asio::detached);
            next += std::chrono::duration_cast<base::duration>(
                std::chrono::duration<double>{gap(random_)});
        }
    }

    request_class draw_class()
    {
        const double at = std::uniform_real_distribution<double>{}(random_);
        if (at < filing_share)
        {
            return request_class::filing;
        }
        return at < filing_share + availability_share
                   ? request_class::availability
                   : request_class::lineage;
    }

    net::http_request make_request(
        request_class what, const load_target& target) const
    {
        net::http_request out{
            .method = "GET",
            .target = what == request_class::availability ? "/availability/1"
                                                          : "/lineage/1",
            .fields = {{"Waxwing-Service", plan_.service}}};
        if (what == request_class::filing)
        {
            out.method = "POST";
            out.target = plan_.filing_prefix;
            out.fields.push_back(
                {"Idempotency-Key",
                 fmt::format("{}bench-{}", target.key_prefix, ++next_key)});
        }
        return out;
    }

    asio::awaitable<void> ask(request_class what)
    {
        std::uniform_int_distribution<std::size_t> pick{
            0, plan_.targets.size() - 1};
        const auto& target = plan_.targets[pick(random_)];
        const auto request = make_request(what, target);
        auto& count = result_.by_class.at(static_cast<std::size_t>(what));
        ++count.sent;
        const auto began = monotonic_clock::now();
        const auto deadline = began + call_timeout;
        auto& idle = idle_[target.address];
        connection used;
        if (!idle.empty() && idle.back()->open())
        {
            used = std::move(idle.back());
            idle.pop_back();
        }
        if (!used)
        {
            used =
                std::make_unique<net::http_connection>(context_.get_executor());
            if (!co_await used->connect(target.address, deadline))
            {
                ++count.lost;
                co_return;
            }
        }
        const auto answer = co_await used->exchange(request, deadline);
        note(count, answer, monotonic_clock::now() - began);
        if (answer && used->open())
        {
            idle.push_back(std::move(used));
        }
    }

    static void note(
        class_result& count,
        const net::exchange_result& answer,
        base::duration time)
    {
        constexpr unsigned status_ok = 200;
        if (answer && answer.value().status == status_ok)
        {
            ++count.done;
            count.latency_ms.push_back(
                std::chrono::duration<double, std::milli>(time).count());
            return;
        }
        const bool refused =
            answer &&
            net::find_field(answer.value().fields, "Waxwing-Outcome") ==
                "not-run";
        ++(refused ? count.refused : count.lost);
    }

    const load_plan& plan_;
    std::mt19937_64& random_;
    asio::io_context context_{1};
    load_result result_;
    std::map<base::endpoint, std::vector<connection>> idle_;
};

template <class Count>
std::uint64_t sum(const load_result& from, Count count)
{
    std::uint64_t out{0};
    for (const auto& one : from.by_class)
    {
        out += one.*count;
    }
    return out;
}

} // namespace

std::uint64_t load_result::sent() const
{
    return sum(*this, &class_result::sent);
}

std::uint64_t load_result::done() const
{
    return sum(*this, &class_result::done);
}

std::uint64_t load_result::refused() const
{
    return sum(*this, &class_result::refused);
}

std::uint64_t load_result::lost() const
{
    return sum(*this, &class_result::lost);
}

double load_result::share_done(request_class what) const
{
    const auto& one = by_class.at(static_cast<std::size_t>(what));
    return one.sent == 0 ? 0 : double(one.done) / double(one.sent);
}

double load_result::percentile_ms(double share) const
{
    std::vector<double> all;
    for (const auto& one : by_class)
    {
        all.insert(all.end(), one.latency_ms.begin(), one.latency_ms.end());
    }
    if (all.empty())
    {
        return 0;
    }
    std::ranges::sort(all);
    const auto at = static_cast<std::size_t>(share * double(all.size() - 1));
    return all[at];
}

load_result run_load(const load_plan& plan, std::mt19937_64& random)
{
    return load_run{plan, random}.run();
}

std::vector<load_target> targets_of(
    const harness::cluster& cluster, const std::string& service)
{
    std::vector<load_target> out;
    for (const auto& entry : cluster.entries())
    {
        const auto list = cluster.get_json(
            entry.caller_address,
            "/v1/entries?client=127.0.0.1&service=" + service);
        const auto* entries = list.if_contains("entries");
        if (entries == nullptr)
        {
            continue;
        }
        load_target target{entry.caller_address, ""};
        for (const auto& named : entries->as_array())
        {
            const auto& one = named.as_object();
            const auto* prefix = one.if_contains("key_prefix");
            if (prefix != nullptr &&
                one.at("address").as_string() == to_string(target.address))
            {
                target.key_prefix = boost::json::value_to<std::string>(*prefix);
            }
        }
        out.push_back(std::move(target));
    }
    return out;
}

} // namespace waxwingvalve::bench
