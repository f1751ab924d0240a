// The fault soak: soak FIRST_SEED COUNT SECONDS FOLDER [OTHER_DAEMON]. Each
// seed is a series of faults that overlap; the exit status is the number of
// seeds that broke a promise. Logs of the daemons stay in FOLDER/seed-N. Every
// second daemon is the program OTHER_DAEMON, of another build, when it is
// given.
#include <csignal>

#include <algorithm>
#include <functional>
#include <string_view>

#include <fmt/format.h>

#include "soak/soak_world.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::soak;
using namespace std::chrono_literals;

namespace
{

constexpr int daemon_count = 5;
constexpr int worker_count = 6;
constexpr int caller_count = 24;
// From the end of the faults to the check that all is well again.
constexpr std::chrono::milliseconds recovery{6'000};
constexpr std::chrono::milliseconds check_span{2'000};
// A worker that leaves gets no new requests later than this.
constexpr std::chrono::milliseconds drain_bound{2'500};
// Stated target: of the requests after the faults nearly all are served.
constexpr double least_served = 0.95;

std::string configuration(int version)
{
    const auto route = [](std::string_view kind)
    {
        return fmt::format(
            R"({{"entry_type":"routes","metadata":{{"name":"{0}"}},"spec":)"
            R"({{"host":"desk.example","prefix":"/{0}/","kind":"{0}",)"
            R"("timeout":"2000ms","target_latency":"300ms","priority":1,)"
            R"("service":"desk","max_attempts":2,"sticky":true}}}})",
            kind);
    };
    return fmt::format(
        R"({{"version":"r{}","resources":[{},{}]}})",
        version,
        route("safe"),
        route("unsafe"));
}

std::string entry(const soak_worker& of, std::string_view state)
{
    return fmt::format(
        R"({{"address":"{}","born":1,"info":{{"service":"desk",)"
        R"("version":"v1","zone":"addis-a","slots":8}},"status":{{"state":)"
        R"("{}","sequence":1,"cold_remaining":"0ms"}}}})",
        to_string(of.address()),
        state);
}

class soak_run
{
public:
    soak_run(
        std::uint64_t seed,
        std::filesystem::path folder,
        std::filesystem::path other_daemon)
        : random_{seed}, folder_{std::move(folder)}, other_daemon_{std::move(
                                                         other_daemon)}
    {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
    }

    // The promises that were broken.
    std::vector<std::string> play(std::chrono::seconds length);

private:
    void build();
    void run_for(base::duration time);
    void inject();
    void end_faults();
    void end_daemon(soak_daemon& one, int signal);
    void disturb_path(stand_ins::relay& path);
    void disturb_store();
    void check_refusals();
    void check_recovery();
    void check_drain();
    void later(std::chrono::milliseconds time, std::function<void()> action);
    int draw(int least, int most)
    {
        return std::uniform_int_distribution<int>{least, most}(random_);
    }

    std::mt19937_64 random_;
    std::filesystem::path folder_;
    std::filesystem::path other_daemon_;
    boost::asio::io_context loop_;
    ledger seen_;
    tests::fake_store store_{loop_};
    std::vector<std::unique_ptr<soak_worker>> workers_;
    std::vector<std::unique_ptr<soak_daemon>> daemons_;
    std::vector<std::shared_ptr<soak_caller>> callers_;
    int version_{1};
};

void soak_run::build()
{
    store_.put("op", "config", configuration(version_));
    for (int i = 0; i < worker_count; ++i)
    {
        workers_.push_back(std::make_unique<soak_worker>(
            loop_, fmt::format("i-{}", i), seen_, random_()));
        store_.put("servers", workers_[i]->id(), entry(*workers_[i], "ready"));
    }
    for (int i = 0; i < daemon_count; ++i)
    {
        daemons_.push_back(std::make_unique<soak_daemon>(
            i,
            store_.address(),
            folder_,
            i % 2 == 1 ? other_daemon_ : WAXWINGVALVE_PLATFORM_DAEMON));
    }
    run_for(2s);
    for (int i = 0; i < caller_count; ++i)
    {
        callers_.push_back(
            std::make_shared<soak_caller>(loop_, daemons_, seen_, random_()));
        callers_.back()->start();
    }
}

void soak_run::run_for(base::duration time)
{
    loop_.restart();
    loop_.run_for(time);
}

void soak_run::later(
    std::chrono::milliseconds time, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_, time);
    timer->async_wait([timer, action = std::move(action)](
                          const boost::system::error_code&) { action(); });
}

void soak_run::end_daemon(soak_daemon& one, int signal)
{
    one.send(SIGCONT);
    one.send(signal);
    later(
        std::chrono::milliseconds{signal == SIGKILL ? draw(100, 900) : 5'000},
        [&one]
        {
            if (!one.running())
            {
                one.start();
            }
        });
}

void soak_run::disturb_path(stand_ins::relay& path)
{
    switch (draw(0, 2))
    {
    case 0:
        path.faults().delay_us = draw(1'000, 80'000);
        break;
    case 1:
        path.silence_existing();
        break;
    default:
        path.cut();
        later(
            std::chrono::milliseconds{draw(200, 1'500)},
            [&path] { static_cast<void>(path.start()); });
        break;
    }
}

void soak_run::disturb_store()
{
    using tests::store_fault;
    constexpr std::array faults{
        store_fault::unavailable,
        store_fault::too_many_requests,
        store_fault::connection_closed,
        store_fault::no_response,
        store_fault::history_gone};
    store_.set_fault(faults.at(static_cast<std::size_t>(draw(0, 4))));
    later(
        std::chrono::milliseconds{draw(300, 2'500)},
        [this] { store_.set_fault(store_fault::none); });
}

void soak_run::inject()
{
    auto& daemon = *daemons_[static_cast<std::size_t>(draw(0, 4))];
    switch (draw(0, 6))
    {
    case 0:
        end_daemon(daemon, SIGKILL);
        break;
    case 1:
        end_daemon(daemon, SIGTERM);
        break;
    case 2:
        daemon.send(SIGSTOP);
        later(
            std::chrono::milliseconds{draw(200, 2'500)},
            [&daemon] { daemon.send(SIGCONT); });
        break;
    case 3:
        daemon.send(SIGHUP);
        break;
    case 4:
        disturb_store();
        break;
    case 5:
        store_.put("op", "config", configuration(++version_));
        break;
    default:
        disturb_path(workers_[static_cast<std::size_t>(draw(0, 5))]->path());
        break;
    }
}

void soak_run::end_faults()
{
    store_.set_fault(tests::store_fault::none);
    for (auto& one : workers_)
    {
        one->path().faults() = {};
        one->path().cut();
        static_cast<void>(one->path().start());
    }
    for (auto& one : daemons_)
    {
        one->send(SIGCONT);
    }
}

// A refusal with 503 or 429 says that the request has not run and never will.
void soak_run::check_refusals()
{
    for (const auto& [id, record] : seen_.attempts)
    {
        const bool promised = record.status == 503 || record.status == 429;
        if (promised && !record.idempotent && record.runs > 0)
        {
            seen_.broken.push_back("refused as not run, but ran: " + id);
        }
    }
}

void soak_run::check_recovery()
{
    const auto from = base::monotonic_clock::now();
    run_for(check_span);
    int asked = 0;
    int served = 0;
    for (const auto& [id, record] : seen_.attempts)
    {
        if (record.sent_at >= from && record.status != 0)
        {
            ++asked;
            served += record.status == 200 ? 1 : 0;
        }
    }
    if (asked == 0 || served < least_served * asked)
    {
        seen_.broken.push_back(fmt::format(
            "after the faults {} of {} were served", served, asked));
    }
}

void soak_run::check_drain()
{
    auto& leaving = *workers_.front();
    store_.put("servers", leaving.id(), entry(leaving, "draining"));
    const auto told = base::monotonic_clock::now();
    run_for(drain_bound + 1s);
    if (seen_.last_run[leaving.id()] > told + drain_bound)
    {
        seen_.broken.push_back("a leaving worker got a request too late");
    }
}

std::vector<std::string> soak_run::play(std::chrono::seconds length)
{
    build();
    const auto end = base::monotonic_clock::now() + length;
    while (base::monotonic_clock::now() < end)
    {
        inject();
        run_for(std::chrono::milliseconds{draw(50, 700)});
    }
    end_faults();
    run_for(recovery);
    check_recovery();
    check_drain();
    for (auto& one : callers_)
    {
        one->stop();
    }
    run_for(3'500ms);
    check_refusals();
    fmt::print("{} attempts, ", seen_.attempts.size());
    return seen_.broken;
}

} // namespace

int main(int count, char** words)
{
    if (count != 5 && count != 6)
    {
        fmt::print(
            stderr,
            "usage: soak FIRST_SEED COUNT SECONDS FOLDER [OTHER_DAEMON]\n");
        return 2;
    }
    const std::filesystem::path other_daemon{
        count == 6 ? words[5] : WAXWINGVALVE_PLATFORM_DAEMON};
    const auto first = std::stoull(words[1]);
    const auto seeds = std::stoull(words[2]);
    const std::chrono::seconds length{std::stol(words[3])};
    int failed = 0;
    for (auto seed = first; seed < first + seeds; ++seed)
    {
        const auto folder =
            std::filesystem::path{words[4]} / fmt::format("seed-{}", seed);
        const auto broken = soak_run{seed, folder, other_daemon}.play(length);
        fmt::print("seed {}: {} broken\n", seed, broken.size());
        for (const auto& one : broken)
        {
            fmt::print("  {}\n", one);
        }
        std::fflush(stdout);
        failed += broken.empty() ? 0 : 1;
    }
    return std::min(failed, 100);
}
