// Connections to workers: opening, sending requests and closing. How answers
// are read is in upstream_answers.cpp.
#include "front/upstream_connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/write.hpp>

#include "front/upstream_connection_state.hpp"
#include "net/guarded.hpp"

namespace waxwingvalve::front
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

upstream_connection::upstream_connection(
    asio::io_context& context,
    base::endpoint worker_address,
    std::shared_ptr<base::byte_budget> answer_memory,
    std::uint64_t max_answer_bytes)
    : state_{std::make_unique<state>(
          context,
          std::move(worker_address),
          std::move(answer_memory),
          max_answer_bytes)}
{
}

upstream_connection::~upstream_connection() = default;

void upstream_connection::on_idle(idle_handler handler)
{
    state_->idle = std::move(handler);
}

void upstream_connection::exchange(
    upstream_request request, exchange_handler handler)
{
    auto& s = *state_;
    s.request = std::move(request);
    s.handler = std::move(handler);
    s.reused = s.used_before;
    s.request_sent = false;
    s.answer_started = false;
    s.interim_answers = 0;
    s.set_aside_bytes = s.request.answer_memory.bytes();
    s.set_aside(std::move(s.request.answer_memory));
    s.begin_answer();
    if (!s.connected)
    {
        s.connect(shared_from_this());
        return;
    }
    s.send(shared_from_this());
}

void upstream_connection::abandon()
{
    if (state_->handler)
    {
        state_->discard_unsent();
    }
    state_->handler = nullptr;
    state_->reader.stop();
    state_->close();
    state_->drop_request();
}

bool upstream_connection::request_sent() const
{
    return state_->request_sent;
}

bool upstream_connection::usable() const
{
    return state_->connected && !state_->closed && !state_->handler;
}

base::instant upstream_connection::last_used() const
{
    return state_->last_used;
}

base::duration upstream_connection::keep_alive() const
{
    return state_->keep_alive;
}

void upstream_connection::state::connect(
    const std::shared_ptr<upstream_connection>& self)
{
    beast::error_code failure;
    const auto address =
        asio::ip::make_address(worker_address.address, failure);
    if (failure)
    {
        reader.stop();
        report(
            {.status = exchange_status::not_connected,
             .detail = failure.message()});
        return;
    }
    limit_connecting(self);
    socket.async_connect(
        tcp::endpoint{address, worker_address.port},
        [self](const beast::error_code& reason)
        {
            auto& s = *self->state_;
            s.timer.cancel();
            if (reason || s.closed)
            {
                const auto lost = s.loss_of_connecting(reason);
                s.close();
                s.reader.stop();
                s.report(
                    {.status = exchange_status::not_connected,
                     .lost = lost,
                     .detail = reason.message()});
                return;
            }
            beast::error_code ignored;
            s.socket.set_option(tcp::no_delay{true}, ignored);
            s.set_acknowledgement_timeout(unacknowledged_timeout);
            s.connected = true;
            s.connected_at = base::monotonic_clock::now();
            s.read(self);
            if (s.request.may_send && !s.request.may_send())
            {
                s.withdraw(self);
                return;
            }
            s.send(self);
        });
}

void upstream_connection::state::limit_connecting(
    const std::shared_ptr<upstream_connection>& self)
{
    timer.expires_after(connect_timeout);
    timer.async_wait(
        [weak = std::weak_ptr{self}](const beast::error_code& cancelled)
        {
            const auto owner = weak.lock();
            if (cancelled || !owner || owner->state_->connected)
            {
                return;
            }
            auto& s = *owner->state_;
            const auto late =
                asio::steady_timer::clock_type::now() - s.timer.expiry();
            s.stood_still = late > late_timer;
            s.close();
        });
}

contact_loss upstream_connection::state::loss_of_connecting(
    const beast::error_code& failure) const
{
    if (failure == asio::error::connection_refused)
    {
        return contact_loss::refused;
    }
    const bool silent = closed || failure == asio::error::timed_out;
    return silent && !stood_still ? contact_loss::silent : contact_loss::none;
}

void upstream_connection::state::set_acknowledgement_timeout(
    std::chrono::milliseconds time)
{
    using user_timeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    beast::error_code ignored;
    socket.set_option(user_timeout{static_cast<int>(time.count())}, ignored);
}

void upstream_connection::state::withdraw(
    const std::shared_ptr<upstream_connection>& self)
{
    request.may_send = nullptr;
    reader.stop();
    report(
        {.status = exchange_status::withdrawn,
         .reused = reused,
         .detail = "no longer allowed there"});
    if (!closed && !handler && idle)
    {
        idle(self);
    }
}

void upstream_connection::state::send(
    const std::shared_ptr<upstream_connection>& self)
{
    if (!handler)
    {
        return;
    }
    request.may_send = nullptr;
    long_body_sent = long_body_sent || request.body->size() > small_body_bytes;
    if (long_body_sent)
    {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            request.deadline - base::monotonic_clock::now());
        set_acknowledgement_timeout(std::max(left, unacknowledged_timeout));
    }
    sending = true;
    request_sent = true;
    const std::array<asio::const_buffer, 2> buffers{
        asio::buffer(request.head), asio::buffer(*request.body)};
    // The body is shared with a request that may end before the write does.
    asio::async_write(
        socket,
        buffers,
        [self,
         body = request.body](const beast::error_code& failure, std::size_t)
        {
            // The read reports the end of the connection, after an answer that
            // the worker may have sent before. A reset that only the write was
            // told of is kept for it.
            auto& s = *self->state_;
            s.sending = false;
            s.write_failure = failure;
            if (!s.handler)
            {
                s.drop_request();
                return;
            }
            if (s.answer_ended)
            {
                net::run_guarded(
                    "worker", [&] { s.finish_ended_answer(self); });
            }
        });
}

void upstream_connection::state::report(exchange_outcome outcome)
{
    if (!handler)
    {
        return;
    }
    const auto callback = std::exchange(handler, nullptr);
    drop_request();
    callback(std::move(outcome));
}

// A connection that is kept does not keep what it has sent. While a write is
// pending, which the end of the connection cancels, its bytes stay.
void upstream_connection::state::drop_request()
{
    if (!sending)
    {
        request = {};
    }
}

// A close sends a reset. Otherwise the kernel goes on sending the request after
// it has been given up, and a worker that was out of reach runs it much later.
void upstream_connection::state::discard_unsent()
{
    beast::error_code ignored;
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
}

void upstream_connection::state::close()
{
    if (closed)
    {
        return;
    }
    closed = true;
    timer.cancel();
    beast::error_code ignored;
    socket.close(ignored);
}

} // namespace waxwingvalve::front
