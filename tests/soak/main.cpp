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

#include "soak/configuration_check.hpp"
#include "soak/soak_client.hpp"
#include "soak/soak_store.hpp"
#include "soak/soak_worker.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::soak;
using namespace std::chrono_literals;

namespace
{

constexpr int daemon_count = 5;
constexpr int worker_count = 6;
constexpr int caller_count = 24;
// Faults that begin at one moment.
constexpr int max_series = 3;
// From the end of the faults to the check that all is well again.
constexpr std::chrono::milliseconds recovery{6'000};
constexpr std::chrono::milliseconds check_span{2'000};
// A worker that leaves gets no new requests later than this.
constexpr std::chrono::milliseconds drain_bound{2'500};
// Stated target: of the requests after the faults nearly all are served.
constexpr double least_served = 0.95;

class soak_run
{
public:
    soak_run(
        std::uint64_t seed,
        std::filesystem::path folder,
        std::filesystem::path other_daemon)
        : random_{seed}, folder_{std::move(folder)},
          other_daemon_{std::move(other_daemon)}, store_{loop_, random_()}
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
    void start_when_gone(
        soak_daemon& one, int process, std::chrono::milliseconds time);
    void disturb_path(soak_worker& of);
    void disturb_worker(soak_worker& one);
    void end_worker(soak_worker& one);
    void restart_worker(soak_worker& one, bool same_id);
    void check_refusals();
    void check_recovery();
    void check_drain();
    void check_processes();
    int draw(int least, int most)
    {
        return std::uniform_int_distribution<int>{least, most}(random_);
    }

    std::mt19937_64 random_;
    std::filesystem::path folder_;
    std::filesystem::path other_daemon_;
    boost::asio::io_context loop_;
    ledger seen_;
    soak_store store_;
    std::vector<std::unique_ptr<soak_worker>> workers_;
    std::vector<std::unique_ptr<soak_daemon>> daemons_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    configuration_check configurations_{loop_, daemons_, store_, seen_};
    bool faults_over_{false};
};

void soak_run::build()
{
    store_.write_next_configuration();
    for (int i = 0; i < worker_count; ++i)
    {
        workers_.push_back(std::make_unique<soak_worker>(
            loop_, fmt::format("i-{}", i), seen_, random_()));
        store_.write_worker(workers_[i]->id(), workers_[i]->entry());
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
            std::make_unique<soak_caller>(loop_, daemons_, seen_, random_()));
        callers_.back()->start();
    }
}

void soak_run::run_for(base::duration time)
{
    loop_.restart();
    loop_.run_for(time);
}

void soak_run::end_daemon(soak_daemon& one, int signal)
{
    one.send(SIGCONT);
    one.send(signal);
    start_when_gone(
        one,
        one.starts(),
        std::chrono::milliseconds{signal == SIGKILL ? draw(100, 900) : 5'000});
}

// A process that is paused after its signal ends later than its stop time.
void soak_run::start_when_gone(
    soak_daemon& one, int process, std::chrono::milliseconds time)
{
    later(
        loop_,
        time,
        [this, &one, process]
        {
            if (one.starts() != process)
            {
                return;
            }
            if (one.running())
            {
                start_when_gone(one, process, 100ms);
                return;
            }
            one.start();
        });
}

void soak_run::disturb_path(soak_worker& of)
{
    auto& path = of.path();
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
            loop_,
            std::chrono::milliseconds{draw(200, 1'500)},
            [&of] { of.open_path(); });
        break;
    }
}

void soak_run::disturb_worker(soak_worker& one)
{
    if (one.state() != worker_state::ready)
    {
        return;
    }
    if (draw(0, 1) == 0)
    {
        end_worker(one);
        return;
    }
    one.drain();
    store_.write_worker(one.id(), one.entry());
    later(loop_, drain_bound + 500ms, [this, &one] { end_worker(one); });
}

// A worker that ended comes back after its address may be used again.
void soak_run::end_worker(soak_worker& one)
{
    if (faults_over_ || one.state() == worker_state::ended)
    {
        return;
    }
    one.end();
    store_.forget_worker(one.id());
    later(
        loop_,
        std::chrono::milliseconds{draw(2'000, 3'000)},
        [this, &one]
        {
            if (one.state() == worker_state::ended)
            {
                restart_worker(one, draw(0, 3) == 0);
            }
        });
}

void soak_run::restart_worker(soak_worker& one, bool same_id)
{
    if (!same_id)
    {
        store_.forget_worker(one.id());
    }
    one.begin_again(same_id ? one.id() : one.id() + "+");
    store_.write_worker(one.id(), one.entry());
}

void soak_run::inject()
{
    auto& daemon = *daemons_[static_cast<std::size_t>(draw(0, 4))];
    auto& worker = *workers_[static_cast<std::size_t>(draw(0, 5))];
    switch (draw(0, 9))
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
            loop_,
            std::chrono::milliseconds{draw(200, 2'500)},
            [&daemon] { daemon.send(SIGCONT); });
        break;
    case 3:
        if (daemon.reads_signals())
        {
            daemon.send(SIGHUP);
        }
        break;
    case 4:
        store_.disturb();
        break;
    case 5:
    case 6:
        store_.write_next_configuration();
        break;
    case 7:
        store_.lose_writes();
        break;
    case 8:
        disturb_worker(worker);
        break;
    default:
        disturb_path(worker);
        break;
    }
}

void soak_run::end_faults()
{
    faults_over_ = true;
    store_.end_faults();
    // Written before anything else, it gets a version that a lost
    // configuration had: a daemon that compares versions only misses it.
    store_.write_next_configuration();
    for (auto& one : workers_)
    {
        one->path().faults() = {};
        one->path().cut();
        one->open_path();
        if (one->state() != worker_state::ready)
        {
            restart_worker(*one, false);
        }
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

// No process ends by itself.
void soak_run::check_processes()
{
    for (auto& one : daemons_)
    {
        if (const auto end = one->own_end())
        {
            seen_.broken.push_back(fmt::format(
                "entry-{} ended by itself with {}", one->number(), *end));
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
    leaving.drain();
    store_.write_worker(leaving.id(), leaving.entry());
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
    configurations_.start();
    const auto end = base::monotonic_clock::now() + length;
    later(
        loop_,
        length - std::chrono::milliseconds{draw(1'000, 4'000)},
        [this] { store_.keep_copy(); });
    while (base::monotonic_clock::now() < end)
    {
        for (int i = draw(1, max_series); i > 0; --i)
        {
            inject();
        }
        run_for(std::chrono::milliseconds{draw(50, 700)});
    }
    // The faults end with a loss of writes, else few of the restores would be
    // followed by a time in which configurations are judged.
    store_.go_away(false);
    run_for(std::chrono::milliseconds{draw(100, 800)});
    end_faults();
    run_for(recovery);
    store_.write_next_configuration();
    check_recovery();
    check_drain();
    check_processes();
    configurations_.finish();
    for (auto& one : callers_)
    {
        one->stop();
    }
    run_for(3'500ms);
    check_refusals();
    fmt::print(
        "{} attempts, {} restores, {} judged on configurations, ",
        seen_.attempts.size(),
        store_.restores(),
        configurations_.judged());
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
