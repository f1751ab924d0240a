#include "daemon/serving_duty.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/log.hpp"
#include "daemon/serving/answers.hpp"

namespace waxwingvalve::daemon
{

namespace asio = boost::asio;
using base::log_channel;
using base::log_event;
using base::log_level;

namespace
{

constexpr std::chrono::milliseconds figures_period{100};

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
    : context_{1}, settings_{settings}, counts_{counts},
      places_{context_.get_executor(), settings},
      front_{context_.get_executor(), settings, places_, counts, incarnation},
      server_{
          context_,
          to_limits(settings.limits),
          {.fast = [this](const net::http_request& in)
           { return front_.answer_now(in); },
           .route = [this](net::http_request in)
           { return front_.serve(std::move(in)); },
           .refuse = serving::front::refuse_unread}},
      configurations_{context_, [this](configuration_pointer next) {
                          adopt(std::move(next));
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
    watch_for_end();
    thread_ = std::thread{[this] { context_.run(); }};
    return base::success();
}

bool serving_duty::offer(configuration_pointer next)
{
    return configurations_.push(std::move(next));
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

void serving_duty::begin_stop()
{
    asio::post(
        context_,
        [this]
        {
            counts_.leaving.store(true);
            server_.stop();
        });
}

// Publishes the figures and ends the thread once a planned stop has nothing
// left to finish.
void serving_duty::watch_for_end()
{
    auto timer = std::make_shared<asio::steady_timer>(context_);
    timer->expires_after(figures_period);
    timer->async_wait(
        [this, timer](const boost::system::error_code&)
        {
            counts_.connections.store(server_.connections());
            counts_.running.store(server_.running());
            const bool idle =
                server_.running() == 0 && front_.running_filings() == 0;
            if (counts_.leaving.load() && idle)
            {
                context_.stop();
                return;
            }
            watch_for_end();
        });
}

} // namespace waxwingvalve::daemon
