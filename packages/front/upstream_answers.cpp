// How a connection to a worker reads answers: which bytes belong to the request
// in flight, and what an answer may cost.
#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>

#include "front/upstream_connection_state.hpp"
#include "net/guarded.hpp"

namespace waxwingvalve::front
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr std::uint32_t max_answer_head_bytes = 64 * 1024;
constexpr unsigned min_final_status = 200;
constexpr unsigned status_switching_protocols = 101;
// Limit on discarded answers to earlier requests before the connection is
// closed.
constexpr int max_stale_answers = 4;
// Limit on interim answers (1xx) to one request.
constexpr int max_interim_answers = 8;

// Parses the timeout of "Keep-Alive: timeout=N", in seconds.
std::optional<std::chrono::seconds> keep_alive_time(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    const auto position = value.find(name);
    if (position == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto digits = value.substr(position + name.size());
    int seconds{};
    const auto [end, failure] =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (failure != std::errc{})
    {
        return std::nullopt;
    }
    return std::chrono::seconds{seconds};
}

contact_loss loss_of(const beast::error_code& failure)
{
    if (failure == asio::error::timed_out)
    {
        return contact_loss::silent;
    }
    return failure == asio::error::connection_reset ? contact_loss::reset
                                                    : contact_loss::none;
}

std::string_view describe(net::message_fault fault)
{
    switch (fault)
    {
    case net::message_fault::head_too_large:
        return "the head of the answer is too large";
    case net::message_fault::body_too_large:
        return "the body of the answer is over its limit";
    case net::message_fault::no_memory:
        return "no memory for the answer";
    case net::message_fault::sender_share:
        return "the worker's answers take all of its memory";
    case net::message_fault::framing_too_large:
        return "the framing of the answer's chunks is too large";
    case net::message_fault::none:
    case net::message_fault::malformed:
    case net::message_fault::ambiguous_length:
        break;
    }
    return "the answer is not well-formed HTTP";
}

} // namespace

// An answer to something else before the request's own takes none of the memory
// that was set aside.
void upstream_connection::state::set_aside(base::byte_hold memory)
{
    memory.resize(set_aside_bytes);
    reader.set_aside(std::move(memory), request.beyond);
}

void upstream_connection::state::begin_answer()
{
    const auto most = request.max_answer_bytes > 0 ? request.max_answer_bytes
                                                   : max_body_bytes;
    reader.begin(
        {.head_bytes = max_answer_head_bytes, .body_bytes = most},
        request.head_request);
}

void upstream_connection::state::fail_answer(
    std::string_view detail, net::message_fault fault)
{
    close();
    reader.stop();
    report(
        {.status = exchange_status::invalid_answer,
         .reused = reused,
         .detail = std::string{detail},
         .fault = fault,
         .bytes_read = reader.bytes_read()});
}

void upstream_connection::state::read(
    const std::shared_ptr<upstream_connection>& self)
{
    socket.async_read_some(
        asio::buffer(input),
        [self](const beast::error_code& failure, std::size_t size)
        {
            auto& s = *self->state_;
            if (s.closed)
            {
                return;
            }
            if (failure)
            {
                s.handle_read_error(self, failure);
                return;
            }
            if (!s.handler)
            {
                // Unsolicited bytes on an idle connection.
                s.close();
                return;
            }
            const bool handled = net::run_guarded(
                "worker",
                [&]
                {
                    s.reader.append(asio::buffer(s.input, size));
                    s.parse(self);
                });
            if (!handled)
            {
                s.fail_answer("internal failure");
            }
            if (!s.closed)
            {
                s.read(self);
            }
        });
}

void upstream_connection::state::parse(
    const std::shared_ptr<upstream_connection>& self)
{
    while (handler && reader.buffered() > 0)
    {
        answer_started = true;
        switch (reader.next())
        {
        case net::read_event::need_more:
            return;
        case net::read_event::head:
            break;
        case net::read_event::message:
            handle_message(self);
            break;
        case net::read_event::refused:
            fail_answer(describe(reader.fault()), reader.fault());
            return;
        }
    }
}

void upstream_connection::state::handle_message(
    const std::shared_ptr<upstream_connection>& self)
{
    auto received = reader.take();
    if (received.message.status < min_final_status)
    {
        set_aside(std::move(received.memory));
        handle_interim(received.message.status);
        return;
    }
    if (!request.id.empty() && answers_another(received.message))
    {
        set_aside(std::move(received.memory));
        handle_stale(received.keep_alive);
        return;
    }
    finish_answer(self, std::move(received));
}

// True if the answer cannot be the one to the request in flight.
bool upstream_connection::state::answers_another(
    const net::http_response& answer)
{
    const auto id = net::find_field(answer.fields, request.id_field);
    if (!id)
    {
        // Bytes of a faulty worker, such as an earlier refusal once more.
        return worker_sends_ids;
    }
    worker_sends_ids = true;
    return *id != request.id;
}

void upstream_connection::state::handle_interim(unsigned status)
{
    ++interim_answers;
    if (status == status_switching_protocols)
    {
        fail_answer("switching protocols");
        return;
    }
    if (interim_answers > max_interim_answers)
    {
        fail_answer("too many interim answers");
        return;
    }
    begin_answer();
}

// An answer to another request; the expected one may still follow.
void upstream_connection::state::handle_stale(bool keep_open)
{
    stale_answer_seen = true;
    ++stale_answers;
    if (!keep_open || stale_answers > max_stale_answers)
    {
        fail_answer("answer to another request");
        return;
    }
    begin_answer();
}

void upstream_connection::state::finish_answer(
    const std::shared_ptr<upstream_connection>& self,
    net::received_message<false> received)
{
    if (const auto time = keep_alive_time(received.keep_alive_field))
    {
        keep_alive = *time;
    }
    used_before = true;
    last_used = base::monotonic_clock::now();
    const bool reusable = received.keep_alive && !stale_answer_seen &&
                          !sending && !write_failure && reader.buffered() == 0;
    if (!reusable)
    {
        close();
    }
    report(
        {.status = exchange_status::answered,
         .answer = std::move(received.message),
         .reused = reused,
         .connected_at = connected_at,
         .answer_bytes = std::move(received.memory),
         .needed_memory = received.needed_memory,
         .ambiguous = reused && !request.id.empty() && !worker_sends_ids});
    if (!closed && !handler && idle)
    {
        idle(self);
    }
}

void upstream_connection::state::handle_read_error(
    const std::shared_ptr<upstream_connection>& self,
    const beast::error_code& failure)
{
    if (!handler)
    {
        close();
        return;
    }
    if (failure == asio::error::eof)
    {
        handle_end_of_input(self);
        return;
    }
    fail_exchange(failure);
}

// An answer without Content-Length is complete only if the worker ended the
// connection in order.
void upstream_connection::state::handle_end_of_input(
    const std::shared_ptr<upstream_connection>& self)
{
    if (!reader.end_of_input())
    {
        fail_exchange(write_failure ? write_failure : asio::error::eof);
        return;
    }
    answer_ended = true;
    if (!sending)
    {
        finish_ended_answer(self);
    }
}

// The kernel reports a reset once. If it was reported to a write, the read that
// follows sees what looks like an orderly end.
void upstream_connection::state::finish_ended_answer(
    const std::shared_ptr<upstream_connection>& self)
{
    if (write_failure)
    {
        fail_exchange(write_failure);
        return;
    }
    handle_message(self);
}

void upstream_connection::state::fail_exchange(const beast::error_code& failure)
{
    close();
    reader.stop();
    report(
        {.status = answer_started ? exchange_status::invalid_answer
                                  : exchange_status::closed_early,
         .reused = reused,
         .lost = loss_of(failure),
         .connected_at = connected_at,
         .detail = failure.message(),
         .bytes_read = reader.bytes_read()});
}

} // namespace waxwingvalve::front
