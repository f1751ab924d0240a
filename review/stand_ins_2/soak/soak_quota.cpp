// A client account that was idle sends several times its rate, and the daemon
// that grants the account's tokens is stopped by SIGTERM shortly after: what
// runs of the account's requests in any window of its quota?
//
// quota DAEMON FOLDER RECORD TROUBLE: each daemon is stopped in one of
// the rounds, so that one of them stops the owner; with TROUBLE 0 none is. The
// exit status is 1 if the quota was passed, 0 if not, 2 if the case could not
// run.
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "base/time.hpp"
#include "harness/loopback.hpp"
#include "platform/fake_store.hpp"
#include "soak/soak_client.hpp"
#include "soak/soak_daemon.hpp"
#include "soak/soak_ledger.hpp"
#include "soak/soak_worker.hpp"

namespace asio = boost::asio;
namespace base = waxwingvalve::base;
namespace soak = waxwingvalve::soak;
namespace tests = waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

constexpr unsigned status_ok = 200;
constexpr int daemon_count = 5;
constexpr int worker_count = 6;
constexpr int caller_count = 60;
constexpr int first_caller_host = 220;
constexpr int caller_hosts = 8;

constexpr std::string_view account_name = "delta";
constexpr std::string_view account_key = "key-of-delta";
constexpr double requests_per_s = 100;
constexpr double burst = 200;
// The users' terms (demands/LATER.md).
constexpr std::chrono::seconds quota_window{5};
constexpr double quota_overshoot = 0.1;
constexpr double quota_slack = 20;

constexpr std::chrono::milliseconds start_time{6'000};
constexpr std::chrono::milliseconds idle_time{7'000};
constexpr std::chrono::milliseconds time_before_stop{600};
constexpr std::chrono::milliseconds time_after_stop{5'200};
// The usual load is the rate by 1.6 (quota_x), and a tenant sends at most 7.5
// times as much (hot_tenant): 469 requests/s of all callers. Each is a new
// request; none is sent again.
constexpr std::chrono::milliseconds call_interval{128};
// The daemons' stop time is 4 s.
constexpr std::chrono::milliseconds restart_time{1'500};
// With fewer answers the load did not reach the quota at all.
constexpr std::size_t least_answers = 1'000;

double bound()
{
    const double quota =
        requests_per_s * static_cast<double>(quota_window.count()) + burst;
    return quota * (1 + quota_overshoot) + quota_slack;
}

std::string configuration()
{
    return fmt::format(
        R"({{"version":"r1","resources":[)"
        R"({{"entry_type":"routes","metadata":{{"name":"safe"}},"spec":)"
        R"({{"host":"desk.example","prefix":"/safe/","kind":"safe",)"
        R"("timeout":"2000ms","target_latency":"300ms","priority":1,)"
        R"("service":"desk","max_attempts":2,"sticky":false}}}},)"
        R"({{"entry_type":"tenants","metadata":{{"name":"{}"}},"spec":)"
        R"({{"api_keys":["{}"],"rate_per_s":{},"burst":{}}}}},)"
        R"({{"entry_type":"limits","metadata":{{"name":"limits"}},"spec":)"
        R"({{"max_header_bytes":16384,"max_body_bytes":1048576,)"
        R"("header_timeout":"3s","idle_timeout":"15s"}}}}]}})",
        account_name,
        account_key,
        requests_per_s,
        burst);
}

struct sent_request
{
    std::string id{};
    base::instant sent_at{};
    base::instant ended_at{};
    unsigned status{};
    int daemon{};
};

class scene
{
public:
    scene(
        const std::filesystem::path& program,
        const std::filesystem::path& folder)
        : store_{loop_}
    {
        store_.put("op", "config", configuration());
        for (int i = 0; i < worker_count; ++i)
        {
            workers_.push_back(std::make_unique<soak::soak_worker>(
                loop_, i, fmt::format("i-{}", i), seen_, random_()));
            store_.put("servers", workers_[i]->id(), workers_[i]->entry());
        }
        for (int i = 0; i < daemon_count; ++i)
        {
            daemons_.push_back(std::make_unique<soak::soak_daemon>(
                i, store_.address(), folder, program));
        }
    }

    void play(bool trouble)
    {
        begun_at_ = base::monotonic_clock::now();
        run_for(start_time);
        for (int i = 0; i < caller_count; ++i)
        {
            asio::co_spawn(loop_, call(i), asio::detached);
        }
        for (int round = 0; round < daemon_count; ++round)
        {
            run_for(idle_time);
            calling_ = true;
            run_for(time_before_stop);
            if (trouble)
            {
                stopping_ = round;
                stops_.push_back(base::monotonic_clock::now());
                daemons_[static_cast<std::size_t>(round)]->send(SIGTERM);
            }
            run_for(time_after_stop);
            calling_ = false;
            if (trouble)
            {
                run_for(restart_time);
                daemons_[static_cast<std::size_t>(round)]->start();
                stopping_ = -1;
            }
        }
    }

    // The most requests that were both sent and answered in one window: all of
    // them ran in it.
    std::size_t most_in_window() const
    {
        std::vector<sent_request> answered;
        std::ranges::copy_if(
            requests_,
            std::back_inserter(answered),
            [](const sent_request& one) { return one.status == status_ok; });
        std::size_t most = 0;
        for (const auto& first : answered)
        {
            const auto end = first.sent_at + quota_window;
            const auto inside = std::ranges::count_if(
                answered,
                [&](const sent_request& one) {
                    return one.sent_at >= first.sent_at && one.ended_at <= end;
                });
            most = std::max(most, static_cast<std::size_t>(inside));
        }
        return most;
    }

    std::size_t answers() const
    {
        return static_cast<std::size_t>(
            std::ranges::count(requests_, status_ok, &sent_request::status));
    }

    void write_record(const std::filesystem::path& path, std::size_t most) const
    {
        std::ofstream out{path};
        for (const auto& stop : stops_)
        {
            out << fmt::format(
                "{} ms: SIGTERM to a daemon\n", since_begin(stop));
        }
        for (const auto& one : requests_)
        {
            const auto known = seen_.attempts.find(one.id);
            out << fmt::format(
                "{} sent at {} ms to entry-{}, ended at {} ms, status {}, "
                "runs {}\n",
                one.id,
                since_begin(one.sent_at),
                one.daemon,
                since_begin(one.ended_at),
                one.status,
                known == seen_.attempts.end() ? 0 : known->second.runs);
        }
        out << fmt::format(
            "most in a window of {} s: {}, allowed {}\n",
            quota_window.count(),
            most,
            bound());
    }

private:
    std::int64_t since_begin(base::instant at) const
    {
        return base::to_milliseconds(at - begun_at_);
    }

    void run_for(base::duration time)
    {
        loop_.restart();
        loop_.run_for(time);
    }

    asio::awaitable<void> call(int number)
    {
        soak::client_connection connection{
            loop_, tests::own_host(first_caller_host + number % caller_hosts)};
        asio::steady_timer timer{loop_};
        auto daemon = number % daemon_count;
        for (int i = 0;; ++i)
        {
            if (!calling_ || daemon == stopping_)
            {
                connection.close();
                daemon = (number + i) % daemon_count;
                timer.expires_after(call_interval);
                co_await timer.async_wait(use_tuple);
                continue;
            }
            sent_request one{
                .id = fmt::format("{}-{}", number, i),
                .sent_at = base::monotonic_clock::now(),
                .daemon = daemon};
            seen_.attempts[one.id] = {
                .idempotent = true, .account = std::string{account_name}};
            const auto answer = co_await connection.ask(
                daemons_[static_cast<std::size_t>(daemon)]->callers(),
                fmt::format(
                    "GET /safe/{0} HTTP/1.1\r\nHost: desk.example\r\n"
                    "{1}: {0}\r\nAuthorization: Bearer {2}\r\n"
                    "X-Waxwingvalve-Request-Deadline: 2000\r\n\r\n",
                    one.id,
                    soak::attempt_field,
                    account_key));
            one.ended_at = base::monotonic_clock::now();
            one.status = answer ? answer->status : 0;
            requests_.push_back(one);
            timer.expires_at(one.sent_at + call_interval);
            co_await timer.async_wait(use_tuple);
        }
    }

    asio::io_context loop_;
    std::mt19937_64 random_{1};
    tests::fake_store store_;
    soak::ledger seen_;
    std::vector<std::unique_ptr<soak::soak_worker>> workers_;
    std::vector<std::unique_ptr<soak::soak_daemon>> daemons_;
    std::vector<sent_request> requests_;
    std::vector<base::instant> stops_;
    base::instant begun_at_{};
    bool calling_{false};
    int stopping_{-1};
};

} // namespace

int main(int count, char** words)
{
    if (count != 5)
    {
        fmt::print(stderr, "usage: quota DAEMON FOLDER RECORD 0|1\n");
        return 2;
    }
    scene one{words[1], words[2]};
    one.play(std::string_view{words[4]} != "0");
    const auto most = one.most_in_window();
    one.write_record(words[3], most);
    fmt::print(
        "{} answers, most in a window {}, allowed {}\n",
        one.answers(),
        most,
        bound());
    if (one.answers() < least_answers)
    {
        return 2;
    }
    return static_cast<double>(most) > bound() ? 1 : 0;
}
