#include "stand_ins/upstream/worker.hpp"

#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace waxwingvalve::stand_ins
{
namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr unsigned status_ok = 200;
constexpr unsigned status_failed = 500;
constexpr unsigned status_unavailable = 503;
constexpr std::int64_t cold_factor = 10;

std::int64_t now_us()
{
    // The system clock: runs of several processes are put on one time line.
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string field(const net::http_request& in, std::string_view name)
{
    return std::string{net::find_field(in.fields, name).value_or("")};
}

net::http_response to_reply(unsigned status, const json::value& body)
{
    net::http_response out;
    out.status = status;
    out.fields = {{"Content-Type", "application/json"}};
    out.body = json::serialize(body);
    return out;
}

asio::awaitable<void> wait(milliseconds time)
{
    asio::steady_timer timer{co_await asio::this_coro::executor};
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
}

template <class T>
void take(const json::object& in, std::string_view name, T& out)
{
    if (const auto* value = in.if_contains(name))
    {
        out = json::value_to<T>(*value);
    }
}

// Counts a running request for as long as it lives; cancellation unwinds it.
class running_count
{
public:
    running_count(std::uint32_t& running, std::uint32_t& highest)
        : running_{running}
    {
        ++running_;
        highest = std::max(highest, running_);
    }
    ~running_count() { --running_; }
    running_count(const running_count&) = delete;
    running_count& operator=(const running_count&) = delete;

private:
    std::uint32_t& running_;
};

} // namespace

worker::worker(
    asio::io_context& context,
    base::endpoint where,
    std::uint32_t slots,
    std::uint64_t seed)
    : context_{context}, where_{std::move(where)}, slots_{slots}, random_{seed}
{
    start_server();
}

void worker::start_server()
{
    server_ = std::make_unique<net::http_server>(
        context_,
        net::server_limits{},
        net::server_handlers{
            .fast = [](const net::http_request&) { return reply{}; },
            .route = [this](net::http_request in)
            { return serve(std::move(in)); },
            .refuse =
                [](const base::error& reason)
            {
                return to_reply(status_failed, json::string{to_string(reason)});
            }});
}

base::result<void> worker::listen()
{
    return server_->listen(where_);
}

asio::awaitable<worker::reply> worker::serve(net::http_request in)
{
    const auto path = net::path_of(in.target);
    if (path == "/control")
    {
        co_return control(in);
    }
    if (path == "/health")
    {
        co_return health();
    }
    if (!field(in, "Waxwing-Test-Crash").empty())
    {
        ++crashes_;
        asio::co_spawn(context_, crash(), asio::detached);
    }
    if (faults_.shed || faults_.draining || running_ >= slots_)
    {
        refused_over_slots_ += running_ >= slots_ ? 1 : 0;
        auto out = to_reply(status_unavailable, json::object{{"shed", true}});
        out.fields.push_back({"Waxwing-Outcome", "not-run"});
        out.fields.push_back({"Waxwing-Attempt", field(in, "Waxwing-Attempt")});
        co_return out;
    }
    co_return co_await run(std::move(in));
}

asio::awaitable<worker::reply> worker::run(net::http_request in)
{
    const running_count count{running_, highest_running_};
    const auto run_at = runs_.size();
    runs_.push_back(
        {field(in, "Idempotency-Key"),
         field(in, "Waxwing-Attempt"),
         in.method,
         in.target,
         in.body,
         field(in, "Waxwing-Deadline-Ms"),
         now_us(),
         0});
    co_await wait(service_time());
    auto answer = finish(in, run_at);
    if (faults_.lose_answers > 0)
    {
        --faults_.lose_answers;
        co_return std::nullopt;
    }
    co_return answer;
}

milliseconds worker::service_time()
{
    auto time = faults_.service_ms;
    if (faults_.jitter_ms > 0)
    {
        time += std::uniform_int_distribution<std::int64_t>{
            0, faults_.jitter_ms}(random_);
    }
    if (faults_.cold_requests > 0)
    {
        --faults_.cold_requests;
        time *= cold_factor;
    }
    return milliseconds{time};
}

bool worker::fails_by_chance()
{
    constexpr std::int64_t whole = 100;
    return std::uniform_int_distribution<std::int64_t>{0, whole - 1}(random_) <
           faults_.fail_percent;
}

net::http_response worker::finish(
    const net::http_request& in, std::size_t run_at)
{
    runs_[run_at].ended_us = now_us();
    auto out = to_reply(
        faults_.fail || fails_by_chance() ? status_failed : status_ok,
        json::object{
            {"worker", to_string(where_)},
            {"method", in.method},
            {"target", in.target},
            {"key", field(in, "Idempotency-Key")},
            {"body", in.body},
            {"run", run_at}});
    auto attempt = field(in, "Waxwing-Attempt");
    if (faults_.cross_answers > 0)
    {
        --faults_.cross_answers;
        attempt += "-crossed";
    }
    out.fields.push_back({"Waxwing-Attempt", attempt});
    return out;
}

// A dead process: its address refuses connections, what ran is lost.
asio::awaitable<void> worker::crash()
{
    server_->abort();
    co_await wait(milliseconds{faults_.crash_ms});
    ++boot_;
    start_server();
    static_cast<void>(listen());
}

net::http_response worker::health() const
{
    const auto claimed =
        faults_.claimed_running >= 0
            ? static_cast<std::uint32_t>(faults_.claimed_running)
            : running_;
    return to_reply(
        status_ok,
        json::object{
            {"state", faults_.draining ? "draining" : "ok"},
            {"slots", slots_},
            {"running", claimed},
            {"boot", boot_}});
}

net::http_response worker::control(const net::http_request& in)
{
    if (in.method == "POST")
    {
        const auto set = json::parse(in.body).as_object();
        take(set, "service_ms", faults_.service_ms);
        take(set, "jitter_ms", faults_.jitter_ms);
        take(set, "cold_requests", faults_.cold_requests);
        take(set, "draining", faults_.draining);
        take(set, "shed", faults_.shed);
        take(set, "fail", faults_.fail);
        take(set, "fail_percent", faults_.fail_percent);
        take(set, "lose_answers", faults_.lose_answers);
        take(set, "cross_answers", faults_.cross_answers);
        take(set, "claimed_running", faults_.claimed_running);
        take(set, "crash_ms", faults_.crash_ms);
        return to_reply(status_ok, json::object{});
    }
    json::array runs;
    for (const auto& one : runs_)
    {
        runs.push_back(
            {{"key", one.key},
             {"attempt", one.attempt},
             {"method", one.method},
             {"target", one.target},
             {"body", one.body},
             {"deadline_ms", one.deadline_ms},
             {"began_us", one.began_us},
             {"ended_us", one.ended_us}});
    }
    return to_reply(
        status_ok,
        json::object{
            {"worker", to_string(where_)},
            {"slots", slots_},
            {"running", running_},
            {"highest_running", highest_running_},
            {"refused_over_slots", refused_over_slots_},
            {"crashes", crashes_},
            {"runs", std::move(runs)}});
}

} // namespace waxwingvalve::stand_ins
