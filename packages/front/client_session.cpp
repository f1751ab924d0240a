// HTTP/1.1 connections of callers: reading requests and writing answers. When
// they are closed is in client_session_closing.cpp.
#include "front/client_session.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include "base/log.hpp"
#include "front/retry_after.hpp"
#include "net/guarded.hpp"

namespace waxwingvalve::front
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using base::result_code;

namespace
{

// Limit on unanswered requests per connection.
constexpr std::size_t max_open_requests = 32;
// Limit on buffered bytes of requests behind a full pipeline.
constexpr std::size_t max_read_ahead_bytes = 16 * 1024;

// A body up to this size is sent in one piece with its head.
constexpr std::size_t joined_body_bytes = 8 * 1024;

std::string format_head(const net::http_response& answer, bool close)
{
    auto head = fmt::format(
        "HTTP/1.1 {} {}\r\n",
        answer.status,
        std::string_view{
            http::obsolete_reason(static_cast<http::status>(answer.status))});
    for (const auto& [name, value] : answer.fields)
    {
        head += fmt::format("{}: {}\r\n", name, value);
    }
    head += fmt::format("Content-Length: {}\r\n", answer.body.size());
    head += close ? "Connection: close\r\n\r\n" : "\r\n";
    return head;
}

result_code code_of(net::message_fault fault)
{
    switch (fault)
    {
    case net::message_fault::ambiguous_length:
        return result_code::request_ambiguous_length;
    case net::message_fault::head_too_large:
        return result_code::request_header_too_large;
    case net::message_fault::body_too_large:
        return result_code::request_body_too_large;
    case net::message_fault::framing_too_large:
        return result_code::request_framing_too_large;
    case net::message_fault::no_memory:
    case net::message_fault::sender_share:
        return result_code::overloaded;
    case net::message_fault::none:
    case net::message_fault::malformed:
        break;
    }
    return result_code::request_malformed;
}

} // namespace

client_session::client_session(
    serving_context& context,
    asio::ip::tcp::socket socket,
    const std::string& caller,
    closed_handler on_closed)
    : context_{context}, request_memory_{context.memory.requests_of_callers.of(
                             caller)},
      answer_memory_{context.memory.answers_of_callers.of(caller)},
      socket_{std::move(socket)}, on_closed_{std::move(on_closed)},
      reader_{request_memory_}, idle_since_{base::monotonic_clock::now()}
{
}

void client_session::start()
{
    read();
}

bool client_session::may_read_more() const
{
    return !closed_ && !reading_ && unread_bytes() <= max_unread_bytes &&
           (reader_.buffered() < max_read_ahead_bytes || reader_.reading());
}

void client_session::read()
{
    if (!may_read_more())
    {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(received_),
        [self = shared_from_this()](
            const beast::error_code& failure, std::size_t size)
        {
            self->reading_ = false;
            if (self->closed_)
            {
                return;
            }
            if (failure)
            {
                self->handle_disconnect(failure.message());
                return;
            }
            const bool handled =
                net::run_guarded("caller", [&] { self->handle_input(size); });
            if (!handled)
            {
                self->handle_disconnect("internal failure");
            }
        });
}

void client_session::handle_input(std::size_t size)
{
    reader_.append(asio::buffer(received_, size));
    last_input_at_ = base::monotonic_clock::now();
    process_input();
    read();
}

// Reading and parsing stop while the caller leaves too much unread.
void client_session::resume_input()
{
    if (!input_ended_ && reader_.buffered() > 0)
    {
        process_input();
    }
    read();
}

void client_session::process_input()
{
    if (input_ended_)
    {
        // Discards requests that follow the last one to be answered.
        reader_.discard_buffered();
        return;
    }
    while (!input_ended_ && reader_.buffered() > 0 &&
           unread_bytes() <= max_unread_bytes &&
           pending_.size() < max_open_requests && parse_request())
    {
    }
    start_pending();
    send_finished_answers();
}

void client_session::begin_request()
{
    const auto& limits = context_.view.configuration().limits;
    // What never fits is refused as too large, and not for now.
    reader_.begin(
        {.head_bytes = limits.head_bytes,
         .body_bytes = std::min(limits.body_bytes, request_memory_->limit())});
    request_started_at_ = base::monotonic_clock::now();
}

// Returns true if the buffer may hold another request to parse, false when
// more bytes are needed or the input is refused.
bool client_session::parse_request()
{
    if (!reader_.reading())
    {
        begin_request();
    }
    switch (reader_.next())
    {
    case net::read_event::need_more:
        return false;
    case net::read_event::head:
        write_continue();
        return true;
    case net::read_event::message:
        queue_request();
        return true;
    case net::read_event::refused:
        break;
    }
    refuse_input(code_of(reader_.fault()));
    return false;
}

// Sends "100 Continue" to a caller that waits for it before sending the body.
void client_session::write_continue()
{
    if (reader_.continue_expected() && reader_.buffered() == 0)
    {
        output_.push_back({.head = "HTTP/1.1 100 Continue\r\n\r\n"});
        output_bytes_ += output_.back().head.size();
        write();
    }
}

void client_session::queue_request()
{
    auto received = reader_.take();
    request_started_at_.reset();
    auto pending = std::make_shared<pending_request>();
    pending->answer_bytes = base::byte_hold{answer_memory_};
    pending->head_request = received.message.method == "HEAD";
    pending->close_after_answer = !received.keep_alive;
    pending->flow = std::make_shared<request_flow>(
        context_,
        std::move(received.message),
        std::move(received.memory),
        answer_memory_);
    pending_.push_back(std::move(pending));
    if (!received.keep_alive)
    {
        input_ended_ = true;
    }
}

// Refuses the request that is being read, which has not run and will not.
void client_session::refuse_input(result_code code)
{
    ++context_.counts.requests_unreadable;
    auto refusal = net::make_refusal({code}, net::outcome::not_run);
    if (code == result_code::overloaded || code == result_code::leaving)
    {
        const auto id = net::find_field(
            reader_.partial().fields, context_.fields.attempt_id);
        set_retry_after(refusal, id.value_or(std::string_view{}));
    }
    reader_.stop();
    request_started_at_.reset();
    queue_refusal(std::move(refusal), code);
}

// Queues a refusal as the connection's last answer.
void client_session::queue_refusal(net::http_response refusal, result_code code)
{
    auto pending = std::make_shared<pending_request>();
    pending->started = true;
    pending->close_after_answer = true;
    pending->answer = std::move(refusal);
    base::log_event(
        base::log_level::info,
        base::log_channel::serving,
        "request_refused",
        "code",
        base::number(code),
        "name",
        base::describe(code).name);
    pending_.push_back(std::move(pending));
    input_ended_ = true;
    send_finished_answers();
}

void client_session::start_pending()
{
    for (std::size_t i = 0; i < pending_.size(); ++i)
    {
        // A copy, because starting the request may answer it and shorten the
        // queue.
        const auto pending = pending_[i];
        if (pending->started)
        {
            continue;
        }
        const bool too_much_unread = unread_bytes() > max_unread_bytes;
        if (i > 0 && (!pending->flow->repeatable() || too_much_unread))
        {
            return;
        }
        pending->started = true;
        if (answer_memory_->used() > answer_memory_->limit())
        {
            pending->flow->reject(
                {result_code::overloaded, "the caller leaves answers unread"},
                responder_to(pending));
            continue;
        }
        pending->flow->start(responder_to(pending));
    }
}

request_flow::responder client_session::responder_to(const pending_ptr& pending)
{
    return [session = weak_from_this(),
            request = std::weak_ptr{pending}](net::http_response answer)
    {
        if (const auto answered = request.lock())
        {
            answered->answer_bytes.resize(net::memory_of(answer));
            answered->answer = std::move(answer);
        }
        if (const auto self = session.lock())
        {
            asio::post(
                self->socket_.get_executor(),
                [self] { self->handle_answer(); });
        }
    };
}

std::uint64_t client_session::unread_bytes() const
{
    std::uint64_t bytes = output_bytes_;
    for (const auto& pending : pending_)
    {
        bytes += pending->answer_bytes.bytes();
    }
    return bytes;
}

void client_session::handle_answer()
{
    const bool handled = net::run_guarded(
        "caller",
        [this]
        {
            send_finished_answers();
            start_pending();
        });
    if (!handled)
    {
        handle_disconnect("internal failure");
    }
}

void client_session::send_finished_answers()
{
    if (closed_ || close_after_write_)
    {
        return;
    }
    bool answers_added = false;
    while (!pending_.empty() && pending_.front()->answer)
    {
        const auto pending = pending_.front();
        pending_.pop_front();
        const bool none_started_after =
            pending_.empty() ||
            std::ranges::none_of(
                pending_,
                [](const pending_ptr& other) { return other->started; });
        const bool close =
            pending->close_after_answer ||
            (none_started_after &&
             (close_announced_ || (input_ended_ && pending_.empty())));
        queue_answer(*pending, close);
        answers_added = true;
        if (close)
        {
            input_ended_ = true;
            close_after_write_ = true;
            pending_.clear();
        }
    }
    if (!answers_added)
    {
        return;
    }
    idle_since_ = base::monotonic_clock::now();
    write();
    resume_input();
}

void client_session::queue_answer(pending_request& answered, bool close)
{
    auto& answer = *answered.answer;
    outgoing out{
        .head = format_head(answer, close),
        .memory = std::move(answered.answer_bytes)};
    if (answered.head_request || answer.body.size() <= joined_body_bytes)
    {
        out.head += answered.head_request ? std::string_view{} : answer.body;
    }
    else
    {
        out.body = std::move(answer.body);
    }
    out.memory.resize(out.head.capacity() + out.body.capacity());
    output_bytes_ += out.head.size() + out.body.size();
    output_.push_back(std::move(out));
}

void client_session::write()
{
    if (closed_ || output_.empty() || !output_in_flight_.empty())
    {
        return;
    }
    output_in_flight_ = std::exchange(output_, {});
    write_started_at_ = base::monotonic_clock::now();
    std::vector<asio::const_buffer> buffers;
    for (const auto& out : output_in_flight_)
    {
        buffers.push_back(asio::buffer(out.head));
        if (!out.body.empty())
        {
            buffers.push_back(asio::buffer(out.body));
        }
    }
    asio::async_write(
        socket_,
        buffers,
        [self =
             shared_from_this()](const beast::error_code& failure, std::size_t)
        {
            for (const auto& out : self->output_in_flight_)
            {
                self->output_bytes_ -= out.head.size() + out.body.size();
            }
            self->output_in_flight_.clear();
            self->write_started_at_.reset();
            if (self->closed_)
            {
                return;
            }
            if (failure)
            {
                self->handle_disconnect(failure.message());
                return;
            }
            if (self->output_.empty() && self->close_after_write_)
            {
                self->linger(base::monotonic_clock::now());
                return;
            }
            self->write();
            self->resume_input();
        });
}

} // namespace waxwingvalve::front
