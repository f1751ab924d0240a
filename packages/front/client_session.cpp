// HTTP/1.1 connections of callers.
#include "front/client_session.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include "base/log.hpp"
#include "front/retry_after.hpp"
#include "net/request_framing.hpp"

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
// Limit on buffered bytes of requests that are not parsed yet.
constexpr std::size_t max_read_ahead_bytes = 128 * 1024;
// Limit on the time to write answers to a caller that reads slowly.
constexpr std::chrono::seconds write_timeout{20};
// Time to wait after shutdown for the caller to close its side. Closing at once
// could send a reset, which discards unread bytes of the last answer.
constexpr std::chrono::seconds linger_timeout{1};

net::http_request to_request(http::request<http::string_body>&& message)
{
    net::http_request request;
    request.method = message.method_string();
    request.target = message.target();
    for (const auto& field : message)
    {
        if (!net::hop_by_hop(field.name_string()))
        {
            request.fields.push_back({field.name_string(), field.value()});
        }
    }
    request.body = std::move(message.body());
    return request;
}

void append_answer(
    std::string& output,
    const net::http_response& answer,
    bool head_request,
    bool close)
{
    output += fmt::format(
        "HTTP/1.1 {} {}\r\n",
        answer.status,
        std::string_view{
            http::obsolete_reason(static_cast<http::status>(answer.status))});
    for (const auto& [name, value] : answer.fields)
    {
        output += fmt::format("{}: {}\r\n", name, value);
    }
    output += fmt::format("Content-Length: {}\r\n", answer.body.size());
    output += close ? "Connection: close\r\n\r\n" : "\r\n";
    if (!head_request)
    {
        output += answer.body;
    }
}

result_code code_of(const beast::error_code& failure)
{
    if (failure == http::error::header_limit)
    {
        return result_code::request_header_too_large;
    }
    if (failure == http::error::body_limit)
    {
        return result_code::request_body_too_large;
    }
    return result_code::request_malformed;
}

} // namespace

client_session::client_session(
    serving_context& context,
    asio::ip::tcp::socket socket,
    closed_handler on_closed)
    : context_{context}, socket_{std::move(socket)},
      on_closed_{std::move(on_closed)}, body_bytes_{context.memory.requests},
      output_bytes_{context.memory.answers}, idle_since_{
                                                 base::monotonic_clock::now()}
{
}

void client_session::start()
{
    read();
}

bool client_session::may_read_more() const
{
    return !closed_ && !reading_ &&
           (buffer_.size() < max_read_ahead_bytes || parser_.has_value());
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
            self->buffer_.commit(asio::buffer_copy(
                self->buffer_.prepare(size),
                asio::buffer(self->received_, size)));
            self->last_input_at_ = base::monotonic_clock::now();
            self->process_input();
            self->read();
        });
}

void client_session::process_input()
{
    if (input_ended_)
    {
        // Discards requests that follow the last one to be answered.
        buffer_.consume(buffer_.size());
        return;
    }
    while (!input_ended_ && buffer_.size() > 0 &&
           pending_.size() < max_open_requests && parse_request())
    {
    }
    start_pending();
    send_finished_answers();
}

// Returns true if the buffer may hold another request to parse, false when
// more bytes are needed or the input is refused.
bool client_session::parse_request()
{
    if (!parser_)
    {
        const auto& limits = context_.view.configuration().limits;
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(limits.head_bytes);
        parser_->body_limit(limits.body_bytes);
        request_started_at_ = base::monotonic_clock::now();
        head_parsed_ = false;
    }
    beast::error_code failure;
    const auto used = parser_->put(buffer_.data(), failure);
    buffer_.consume(used);
    if (failure && failure != http::error::need_more)
    {
        refuse_input(code_of(failure));
        return false;
    }
    const bool head_done = parser_->is_header_done();
    if (head_done && !head_parsed_ && net::ambiguous_length(parser_->get()))
    {
        refuse_input(result_code::request_ambiguous_length);
        return false;
    }
    if (head_done && !reserve_body_memory())
    {
        refuse_input(result_code::overloaded);
        return false;
    }
    if (head_done && !head_parsed_)
    {
        head_parsed_ = true;
        write_continue();
    }
    if (parser_->is_done())
    {
        queue_request();
        return true;
    }
    return used > 0 && failure != http::error::need_more;
}

// Returns false if there is no memory for the request's body. A length that the
// caller states counts at once, a chunked body as it comes.
bool client_session::reserve_body_memory()
{
    const std::uint64_t received = parser_->get().body().size();
    const auto stated = parser_->content_length();
    return body_bytes_.try_grow(std::max(received, stated.value_or(0)));
}

// Sends "100 Continue" to a caller that waits for it before sending the body.
void client_session::write_continue()
{
    if (!parser_->is_done() &&
        beast::iequals(parser_->get()[http::field::expect], "100-continue"))
    {
        output_ += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }
}

void client_session::queue_request()
{
    const bool keep_alive = parser_->keep_alive();
    auto message = parser_->release();
    parser_.reset();
    request_started_at_.reset();
    auto pending = std::make_shared<pending_request>();
    pending->answer_bytes = base::byte_hold{context_.memory.answers};
    pending->head_request = message.method() == http::verb::head;
    pending->close_after_answer = !keep_alive;
    pending->flow = std::make_shared<request_flow>(
        context_,
        to_request(std::move(message)),
        std::exchange(
            body_bytes_, base::byte_hold{context_.memory.requests}));
    pending_.push_back(std::move(pending));
    if (!keep_alive)
    {
        input_ended_ = true;
    }
}

// Refuses the request that is being read, which has not run and will not.
void client_session::refuse_input(result_code code)
{
    auto refusal = net::make_refusal({code}, net::outcome::not_run);
    if (code == result_code::overloaded)
    {
        const std::string attempt_id{
            parser_->get()[context_.fields.attempt_id]};
        set_retry_after(refusal, attempt_id);
    }
    parser_.reset();
    body_bytes_.release();
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
        if (i > 0 && !pending->flow->repeatable())
        {
            return;
        }
        pending->started = true;
        pending->flow->start(
            [weak = weak_from_this(), pending](net::http_response answer)
            {
                pending->answer = std::move(answer);
                pending->answer_bytes.resize(pending->answer->body.size());
                if (const auto self = weak.lock())
                {
                    asio::post(
                        self->socket_.get_executor(),
                        [self]
                        {
                            self->send_finished_answers();
                            self->start_pending();
                        });
                }
            });
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
        append_answer(output_, *pending->answer, pending->head_request, close);
        output_bytes_.resize(output_.size() + output_in_flight_.size());
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
    if (!input_ended_ && buffer_.size() > 0)
    {
        process_input();
    }
    read();
}

void client_session::write()
{
    if (closed_ || output_.empty() || !output_in_flight_.empty())
    {
        return;
    }
    output_in_flight_ = std::exchange(output_, {});
    write_started_at_ = base::monotonic_clock::now();
    asio::async_write(
        socket_,
        asio::buffer(output_in_flight_),
        [self =
             shared_from_this()](const beast::error_code& failure, std::size_t)
        {
            self->output_in_flight_ = {};
            self->output_bytes_.resize(self->output_.size());
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
            if (!self->output_.empty())
            {
                self->write();
                return;
            }
            if (self->close_after_write_)
            {
                self->linger();
            }
        });
}

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

void client_session::linger()
{
    linger_started_at_ = base::monotonic_clock::now();
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
    if (request_started_at_ && !head_parsed_ &&
        now - *request_started_at_ > limits.head_time)
    {
        refuse_input(result_code::request_too_slow);
        return;
    }
    if (request_started_at_ && head_parsed_ &&
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
        linger();
    }
}

void client_session::begin_shutdown()
{
    if (closed_ || close_after_write_)
    {
        return;
    }
    input_ended_ = true;
    parser_.reset();
    body_bytes_.release();
    request_started_at_.reset();
    if (pending_.empty() && output_in_flight_.empty())
    {
        linger();
    }
}

} // namespace waxwingvalve::front
