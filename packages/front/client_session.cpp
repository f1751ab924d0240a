#include "front/client_session.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include "base/log.hpp"
#include "net/request_framing.hpp"

namespace waxwingvalve::front
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using base::result_code;

namespace
{

// Requests that one connection may have under way.
constexpr std::size_t most_open_requests = 32;
// Bytes read ahead of the request that is served.
constexpr std::size_t most_read_ahead = 128 * 1024;
constexpr std::size_t read_size = 8 * 1024;
// To write an answer to a caller who reads slowly.
constexpr std::chrono::seconds write_time{20};
// Wait for the caller to close its side, so that the bytes of the last answer
// are not lost to a reset.
constexpr std::chrono::seconds linger_time{1};

net::http_request to_request(http::request<http::string_body>&& message)
{
    net::http_request out;
    out.method = message.method_string();
    out.target = message.target();
    for (const auto& field : message)
    {
        if (!net::hop_by_hop(field.name_string()))
        {
            out.fields.push_back({field.name_string(), field.value()});
        }
    }
    out.body = std::move(message.body());
    return out;
}

void append_answer(
    std::string& out,
    const net::http_response& answer,
    bool head_request,
    bool closes)
{
    out += fmt::format(
        "HTTP/1.1 {} {}\r\n",
        answer.status,
        std::string_view{
            http::obsolete_reason(static_cast<http::status>(answer.status))});
    for (const auto& [name, value] : answer.fields)
    {
        out += fmt::format("{}: {}\r\n", name, value);
    }
    out += fmt::format("Content-Length: {}\r\n", answer.body.size());
    out += closes ? "Connection: close\r\n\r\n" : "\r\n";
    if (!head_request)
    {
        out += answer.body;
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
    closed_handler ended)
    : context_{context}, socket_{std::move(socket)},
      on_closed_{std::move(ended)}, idle_since_{base::monotonic_clock::now()}
{
}

void client_session::start()
{
    read();
}

bool client_session::may_read_more() const
{
    return !closed_ && !reading_ &&
           (buffer_.size() < most_read_ahead || parser_.has_value());
}

void client_session::read()
{
    if (!may_read_more())
    {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        buffer_.prepare(read_size),
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
                self->handle_disconnect();
                return;
            }
            self->buffer_.commit(size);
            self->process_input();
            self->read();
        });
}

void client_session::process_input()
{
    if (input_ended_)
    {
        // Requests behind the last answer count as not read.
        buffer_.consume(buffer_.size());
        return;
    }
    while (!input_ended_ && buffer_.size() > 0 &&
           pending_.size() < most_open_requests && parse_request())
    {
    }
    start_pending();
    send_finished_answers();
}

// False when more bytes are needed.
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
    if (parser_->is_header_done() && !head_parsed_)
    {
        head_parsed_ = true;
        if (net::ambiguous_length(parser_->get()))
        {
            refuse_input(result_code::request_ambiguous_length);
            return false;
        }
        write_continue();
    }
    if (parser_->is_done())
    {
        queue_request();
        return true;
    }
    return used > 0 && failure != http::error::need_more;
}

// Tells a caller that waits before it sends a body to go on.
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
    const bool keep = parser_->keep_alive();
    auto message = parser_->release();
    parser_.reset();
    request_started_at_.reset();
    auto made = std::make_shared<pending_request>();
    made->head_request = message.method() == http::verb::head;
    made->close_after_answer = !keep;
    made->flow = std::make_shared<request_flow>(
        context_, to_request(std::move(message)));
    pending_.push_back(std::move(made));
    if (!keep)
    {
        input_ended_ = true;
    }
}

void client_session::refuse_input(result_code code)
{
    parser_.reset();
    request_started_at_.reset();
    queue_refusal(code);
}

// An answer without a request behind the requests that were read.
void client_session::queue_refusal(result_code code)
{
    auto made = std::make_shared<pending_request>();
    made->started = true;
    made->close_after_answer = true;
    made->answer = net::make_refusal({code}, net::outcome::not_run);
    base::log_event(
        base::log_level::info,
        base::log_channel::serving,
        "request_refused",
        "code",
        base::number(code),
        "name",
        base::describe(code).name);
    pending_.push_back(std::move(made));
    input_ended_ = true;
    send_finished_answers();
}

void client_session::start_pending()
{
    for (std::size_t i = 0; i < pending_.size(); ++i)
    {
        // Starting one may answer it at once and shorten the list.
        const auto one = pending_[i];
        if (one->started)
        {
            continue;
        }
        if (i > 0 && !one->flow->repeatable())
        {
            return;
        }
        one->started = true;
        one->flow->start(
            [weak = weak_from_this(), one](net::http_response answer)
            {
                one->answer = std::move(answer);
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
    bool any = false;
    while (!pending_.empty() && pending_.front()->answer)
    {
        const auto one = pending_.front();
        pending_.pop_front();
        const bool nothing_behind =
            pending_.empty() ||
            std::ranges::none_of(
                pending_,
                [](const pending_ptr& other) { return other->started; });
        const bool closes =
            one->close_after_answer ||
            (nothing_behind &&
             (close_announced_ || (input_ended_ && pending_.empty())));
        append_answer(output_, *one->answer, one->head_request, closes);
        any = true;
        if (closes)
        {
            input_ended_ = true;
            close_after_write_ = true;
            pending_.clear();
        }
    }
    if (!any)
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
            self->output_in_flight_.clear();
            self->write_started_at_.reset();
            if (self->closed_)
            {
                return;
            }
            if (failure)
            {
                self->handle_disconnect();
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

void client_session::handle_disconnect()
{
    for (const auto& one : pending_)
    {
        if (one->flow)
        {
            one->flow->abandon();
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
    if (linger_started_at_ && now - *linger_started_at_ > linger_time)
    {
        close();
        return;
    }
    if (write_started_at_ && now - *write_started_at_ > write_time)
    {
        handle_disconnect();
        return;
    }
    if (request_started_at_ && !head_parsed_ &&
        now - *request_started_at_ > limits.head_time)
    {
        refuse_input(result_code::request_too_slow);
        return;
    }
    const bool idle = pending_.empty() && !request_started_at_ &&
                      output_in_flight_.empty() && !linger_started_at_;
    if (idle && now - idle_since_ > limits.idle_time)
    {
        // A request that crosses the close is not passed on, so that its
        // caller may send it again.
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
    request_started_at_.reset();
    if (pending_.empty() && output_in_flight_.empty())
    {
        linger();
    }
}

} // namespace waxwingvalve::front
