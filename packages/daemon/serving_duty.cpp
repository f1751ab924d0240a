#include "daemon/serving_duty.hpp"

#include <algorithm>
#include <variant>

#include <boost/asio/post.hpp>

#include "base/log.hpp"
#include "daemon/serving/answers.hpp"

namespace waxwingvalve::daemon
{

namespace asio = boost::asio;
using base::log_channel;
using base::log_event;
using base::log_level;
using decision::drains::stop_phase;

namespace
{

constexpr std::chrono::milliseconds tick_period{100};
constexpr std::chrono::minutes latency_window_length{1};

net::server_limits to_limits(const schema::limit_settings& in)
{
    return {
        .head_bytes = in.head_bytes,
        .body_bytes = in.body_bytes,
        .connections = in.connections,
        .receive_time = in.receive_time,
        .idle_time = in.idle_time,
        .send_time = in.send_time};
}

} // namespace

serving_duty::serving_duty(
    const schema::daemon_settings& settings,
    figures& counts,
    std::uint64_t incarnation)
    : context_{1}, settings_{settings}, counts_{counts}, timer_{context_},
      latencies_{latency_window_length},
      places_{context_.get_executor(), settings},
      front_{context_.get_executor(), settings, places_, counts, incarnation},
      server_{
          context_,
          to_limits(settings.limits),
          {.fast = [this](const net::http_request& in) { return answer(in); },
           .route = [this](net::http_request in)
           { return serve(std::move(in)); },
           .refuse = serving::front::refuse_unread}},
      configurations_{
          context_,
          [this](configuration_pointer next) { adopt(std::move(next)); }},
      members_{
          context_,
          [this](serving::member_pointer next)
          { places_.adopt_members(std::move(next)); }},
      ownership_{
          context_,
          [this](decision::ownership::owned_workers next)
          { places_.adopt_ownership(std::move(next)); }},
      leaving_vms_{
          context_, [this](std::set<std::string, std::less<>> addresses) {
              places_.adopt_leaving_vms(std::move(addresses));
          }}
{
}

serving_duty::~serving_duty()
{
    context_.stop();
    join();
}

void serving_duty::join()
{
    if (thread_.joinable())
    {
        thread_.join();
    }
}

base::result<void> serving_duty::start()
{
    BOOST_OUTCOME_TRY(server_.listen(settings_.caller_address));
    tick_later();
    thread_ = std::thread{[this] { context_.run(); }};
    return base::success();
}

std::optional<net::http_response> serving_duty::answer(
    const net::http_request& in)
{
    if (auto page = answer_configuration(in, places_.in_force(), hints_))
    {
        return page;
    }
    return front_.answer_now(in);
}

bool serving_duty::offer(configuration_pointer next)
{
    return configurations_.push(std::move(next));
}

bool serving_duty::offer_members(serving::member_pointer next)
{
    return members_.push(std::move(next));
}

bool serving_duty::offer_ownership(decision::ownership::owned_workers next)
{
    return ownership_.push(std::move(next));
}

bool serving_duty::offer_leaving_vms(
    std::set<std::string, std::less<>> addresses)
{
    return leaving_vms_.push(std::move(addresses));
}

void serving_duty::report()
{
    if (report_)
    {
        report_(
            {.state = places_.ownership_state(),
             .configuration = places_.in_force_pointer(),
             .rooms = places_.rooms(),
             .key_prefix = front_.key_prefix()});
    }
}

void serving_duty::adopt(configuration_pointer next)
{
    // Copies can come late or twice: only a higher revision is taken.
    if (next->revision <= places_.in_force().revision)
    {
        return;
    }
    log_event(
        log_level::info,
        log_channel::records,
        "configuration_adopted",
        "revision",
        next->revision,
        "before",
        places_.in_force().revision);
    places_.adopt(std::move(next));
    counts_.revision.store(places_.in_force().revision);
}

asio::awaitable<std::optional<net::http_response>> serving_duty::serve(
    net::http_request in)
{
    const auto began = base::monotonic_clock::now();
    auto answer = co_await front_.serve(std::move(in));
    const auto ended = base::monotonic_clock::now();
    latencies_.add(ended, ended - began);
    co_return answer;
}

void serving_duty::begin_stop()
{
    asio::post(
        context_,
        [this]
        {
            counts_.leaving.store(true);
            places_.set_leaving();
            stop_.begin(base::monotonic_clock::now(), longest_list_lifetime());
        });
}

// How long any list that named this entry may still be used.
base::duration serving_duty::longest_list_lifetime() const
{
    base::duration longest{};
    for (const auto& [key, record] : places_.in_force().by_key)
    {
        if (const auto* service = std::get_if<schema::service>(&record.body))
        {
            longest = std::max<base::duration>(longest, service->entries_ttl);
        }
    }
    return longest;
}

void serving_duty::tick_later()
{
    timer_.expires_after(tick_period);
    timer_.async_wait(
        [this](const boost::system::error_code& cancelled)
        {
            if (!cancelled)
            {
                tick();
            }
        });
}

// Publishes the figures and takes the next step of a planned stop.
void serving_duty::tick()
{
    const auto now = base::monotonic_clock::now();
    counts_.connections.store(server_.connections());
    counts_.running.store(server_.running());
    report();
    counts_.request_latency.set(latencies_.summary(now));

    // A filing's run is no part of its caller's connection.
    const auto running = server_.running() + front_.running_filings();
    const auto before = stop_.phase();
    const auto phase = stop_.advance(now, running);
    if (phase != before && phase == stop_phase::finishing)
    {
        log_event(
            log_level::info,
            log_channel::daemon,
            "no_new_connections",
            "running",
            running);
        server_.stop();
    }
    if (phase == stop_phase::ended)
    {
        context_.stop();
        return;
    }
    tick_later();
}

} // namespace waxwingvalve::daemon
