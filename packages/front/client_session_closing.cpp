// When and how the connections of callers are closed: timeouts, disconnects and
// the end of the process.
#include "front/client_session.hpp"

#include <chrono>

#include "base/log.hpp"

namespace waxwingvalve::front
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using base::result_code;

namespace
{

// Limit on the time to write answers to a caller that reads slowly.
constexpr std::chrono::seconds write_timeout{20};
// Time to wait after shutdown for the caller to close its side. Closing at once
// could send a reset, which discards unread bytes of the last answer.
constexpr std::chrono::seconds linger_timeout{1};
// For a request that was sent before the caller could know of the shutdown.
constexpr std::chrono::milliseconds late_request_time{250};

} // namespace

// The only trace of requests that end without an answer.
void client_session::log_unanswered(std::string_view reason) const
{
    if (pending_.empty())
    {
        return;
    }
    base::log_event(
        base::log_level::info,
        base::log_channel::serving,
        "connection_closed",
        "reason",
        reason,
        "unanswered",
        pending_.size(),
        "first",
        pending_.front()->flow ? pending_.front()->flow->attempt_id()
                               : std::string_view{});
}

void client_session::handle_disconnect(std::string_view reason)
{
    log_unanswered(reason);
    for (const auto& pending : pending_)
    {
        if (pending->flow)
        {
            pending->flow->abandon();
        }
    }
    pending_.clear();
    close();
}

void client_session::linger(base::instant since)
{
    linger_started_at_ = since;
    beast::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

void client_session::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    beast::error_code ignored;
    socket_.close(ignored);
    on_closed_(shared_from_this());
}

void client_session::check_timeouts(base::instant now)
{
    if (closed_)
    {
        return;
    }
    const auto& limits = context_.view.configuration().limits;
    if (linger_started_at_ && now - *linger_started_at_ > linger_timeout)
    {
        log_unanswered("closing took too long");
        close();
        return;
    }
    if (write_started_at_ && now - *write_started_at_ > write_timeout)
    {
        handle_disconnect("the caller does not read its answer");
        return;
    }
    if (request_started_at_ && unread_bytes() > max_unread_bytes)
    {
        // The rest of the request isn't read meanwhile.
        request_started_at_ = now;
        last_input_at_ = now;
    }
    if (request_started_at_ && !reader_.head_complete() &&
        now - *request_started_at_ > limits.head_time)
    {
        refuse_input(result_code::request_too_slow);
        return;
    }
    if (request_started_at_ && reader_.head_complete() &&
        now - last_input_at_ > limits.idle_time)
    {
        refuse_input(result_code::request_too_slow);
        return;
    }
    const bool idle = pending_.empty() && !request_started_at_ &&
                      output_in_flight_.empty() && !linger_started_at_;
    if (idle && now - idle_since_ > limits.idle_time)
    {
        // A request that arrives while the connection closes is not processed,
        // so the caller can safely send it again.
        input_ended_ = true;
        linger(now);
        return;
    }
    if (shutdown_started_at_)
    {
        begin_shutdown();
    }
}

void client_session::begin_shutdown()
{
    // It is called again until the connections are gone, and must not renew
    // their time to linger.
    if (closed_ || close_after_write_ || linger_started_at_)
    {
        return;
    }
    const auto now = base::monotonic_clock::now();
    if (!shutdown_started_at_)
    {
        shutdown_started_at_ = now;
        close_announced_ = true;
    }
    if (request_started_at_)
    {
        refuse_input(result_code::leaving);
        return;
    }
    const bool idle = pending_.empty() && output_in_flight_.empty();
    if (idle && now - *shutdown_started_at_ < late_request_time)
    {
        return;
    }
    input_ended_ = true;
    reader_.stop();
    if (idle)
    {
        linger(*shutdown_started_at_);
    }
}

void client_session::end_unfinished()
{
    // A copy: an answer may end the connection.
    const auto unfinished = pending_;
    for (const auto& pending : unfinished)
    {
        if (pending->flow && pending->started)
        {
            pending->flow->end_unfinished();
        }
    }
}

} // namespace waxwingvalve::front
