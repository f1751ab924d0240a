#include "daemon/serving/worker_health.hpp"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "base/log.hpp"
#include "net/http_client.hpp"

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;
namespace json = boost::json;
using base::log_channel;
using base::log_event;
using base::log_level;
using base::monotonic_clock;
using decision::limits::health_report;
using std::chrono::milliseconds;

namespace
{

// Two polls fit three times into the 3 s in which a drain must be noticed.
constexpr milliseconds poll_period{500};
constexpr milliseconds poll_timeout{400};

std::optional<health_report> parse_health(const std::string& body)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
    {
        return std::nullopt;
    }
    const auto& in = parsed.get_object();
    const auto* state = in.if_contains("state");
    const auto* running = in.if_contains("running");
    const auto* boot = in.if_contains("boot");
    if (state == nullptr || running == nullptr || !running->is_number())
    {
        return std::nullopt;
    }
    health_report out;
    out.draining = *state == "draining";
    out.running = running->to_number<std::uint32_t>(failure);
    out.boot = boot != nullptr && boot->is_number()
                   ? boot->to_number<std::uint64_t>(failure)
                   : 0;
    return failure ? std::nullopt : std::optional{out};
}

void log_change(const base::endpoint& worker, std::string_view state)
{
    log_event(
        log_level::info,
        log_channel::routing,
        "worker_state",
        "worker",
        base::to_string(worker),
        "state",
        state);
}

} // namespace

worker_health::worker_health(
    asio::any_io_executor executor, std::shared_ptr<slot_queue> slots)
    : executor_{std::move(executor)}, slots_{std::move(slots)}
{
}

void worker_health::watch(std::set<base::endpoint> workers)
{
    const auto before = std::exchange(watched_, std::move(workers));
    for (const auto& one : watched_)
    {
        if (polled_.insert(one).second)
        {
            asio::co_spawn(executor_, poll(one), asio::detached);
        }
        else if (!before.contains(one))
        {
            // Came back while its loop still slept: nothing is admitted on
            // it until it has been asked.
            asio::co_spawn(executor_, ask_now(one), asio::detached);
        }
    }
}

asio::awaitable<void> worker_health::poll(base::endpoint worker)
{
    const auto keep = shared_from_this();
    asio::steady_timer timer{executor_};
    while (watched_.contains(worker))
    {
        co_await ask(worker);
        // Rests of workers end by time, which no release tells of.
        slots_->pump();
        timer.expires_after(poll_period);
        co_await timer.async_wait(asio::use_awaitable);
    }
    polled_.erase(worker);
}

asio::awaitable<void> worker_health::ask_now(base::endpoint worker)
{
    const auto keep = shared_from_this();
    co_await ask(worker);
    slots_->pump();
}

asio::awaitable<void> worker_health::ask(const base::endpoint& worker)
{
    static_cast<void>(slots_->admission().take_peak_in_use(worker));
    const auto deadline = monotonic_clock::now() + poll_timeout;
    // A variable, because GCC 12 destroys an aggregate temporary of an
    // awaited call twice.
    net::http_request request{.method = "GET", .target = "/health"};
    const auto answer =
        co_await net::fetch(worker, std::move(request), deadline);
    // The worker may have changed its owner while it was asked.
    auto* limit = slots_->admission().find_limit(worker);
    if (limit == nullptr)
    {
        co_return;
    }
    const auto report =
        answer ? parse_health(answer.value().body) : std::nullopt;
    if (!report)
    {
        limit->note_unreachable();
        co_return;
    }
    const bool before = limit->draining();
    limit->note_report(*report, slots_->admission().take_peak_in_use(worker));
    if (limit->draining() != before)
    {
        log_change(worker, report->draining ? "draining" : "ok");
    }
}

} // namespace waxwingvalve::daemon::serving
