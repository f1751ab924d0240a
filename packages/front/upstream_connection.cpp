// Implementation of the HTTP/1.1 client connection to a worker.
#include "front/upstream_connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace waxwingvalve::front
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::uint32_t max_answer_head_bytes = 64 * 1024;
constexpr unsigned min_final_status = 200;
// Limit on discarded answers to earlier requests before the connection is
// closed.
constexpr int max_stale_answers = 4;
// Keep-alive time assumed when the worker sends no Keep-Alive header.
constexpr std::chrono::seconds default_keep_alive{5};

using answer_parser = http::response_parser<http::string_body>;

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

net::http_response to_response(http::response<http::string_body>&& message)
{
    net::http_response response;
    response.status = message.result_int();
    for (const auto& field : message)
    {
        if (!net::hop_by_hop(field.name_string()))
        {
            response.fields.push_back({field.name_string(), field.value()});
        }
    }
    response.body = std::move(message.body());
    return response;
}

} // namespace

struct upstream_connection::state
{
    state(
        asio::io_context& context,
        base::endpoint address,
        base::byte_budget& memory)
        : worker_address{std::move(address)}, socket{context}, timer{context},
          answer_memory{memory}, answer_bytes{memory}
    {
    }

    base::endpoint worker_address;
    tcp::socket socket;
    asio::steady_timer timer;
    beast::flat_buffer buffer;
    std::optional<answer_parser> parser;
    upstream_request request;
    base::byte_budget& answer_memory;
    // Memory of the answer that is being read.
    base::byte_hold answer_bytes;
    exchange_handler handler;
    idle_handler idle;
    bool connected{false};
    bool closed{false};
    bool sending{false};
    bool used_before{false};
    bool reused{false};
    bool answer_started{false};
    // An answer to an earlier request arrived: the connection must not be
    // reused.
    bool stale_answer_seen{false};
    int stale_answers{0};
    base::instant last_used{base::monotonic_clock::now()};
    base::duration keep_alive{default_keep_alive};

    void connect(const std::shared_ptr<upstream_connection>& self);
    void send(const std::shared_ptr<upstream_connection>& self);
    void withdraw(const std::shared_ptr<upstream_connection>& self);
    void read(const std::shared_ptr<upstream_connection>& self);
    void parse(const std::shared_ptr<upstream_connection>& self);
    void reset_parser();
    bool reserve_answer_memory();
    void fail_answer(std::string detail);
    void finish_answer(const std::shared_ptr<upstream_connection>& self);
    void handle_read_error(
        const std::shared_ptr<upstream_connection>& self,
        const beast::error_code& failure);
    void report(exchange_outcome outcome);
    void close();
};

upstream_connection::upstream_connection(
    asio::io_context& context,
    base::endpoint worker_address,
    base::byte_budget& answer_memory)
    : state_{std::make_unique<state>(
          context, std::move(worker_address), answer_memory)}
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
    s.answer_started = false;
    s.reset_parser();
    if (!s.connected)
    {
        s.connect(shared_from_this());
        return;
    }
    s.send(shared_from_this());
}

void upstream_connection::abandon()
{
    state_->handler = nullptr;
    state_->close();
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
        report({exchange_status::not_connected, {}, false, failure.message()});
        return;
    }
    timer.expires_after(connect_timeout);
    timer.async_wait(
        [weak = std::weak_ptr{self}](const beast::error_code& cancelled)
        {
            const auto owner = weak.lock();
            if (!cancelled && owner && !owner->state_->connected)
            {
                owner->state_->close();
            }
        });
    socket.async_connect(
        tcp::endpoint{address, worker_address.port},
        [self](const beast::error_code& reason)
        {
            auto& s = *self->state_;
            s.timer.cancel();
            if (reason || s.closed)
            {
                s.close();
                s.report(
                    {exchange_status::not_connected,
                     {},
                     false,
                     reason.message()});
                return;
            }
            beast::error_code ignored;
            s.socket.set_option(tcp::no_delay{true}, ignored);
            using user_timeout = asio::detail::socket_option::
                integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
            s.socket.set_option(
                user_timeout{static_cast<int>(unacknowledged_timeout.count())},
                ignored);
            s.connected = true;
            s.read(self);
            if (s.request.may_send && !s.request.may_send())
            {
                s.withdraw(self);
                return;
            }
            s.send(self);
        });
}

void upstream_connection::state::withdraw(
    const std::shared_ptr<upstream_connection>& self)
{
    request.may_send = nullptr;
    report({exchange_status::withdrawn, {}, reused, "no longer allowed there"});
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
    sending = true;
    const std::array<asio::const_buffer, 2> buffers{
        asio::buffer(request.head), asio::buffer(*request.body)};
    // The body is shared with a request that may end before the write does.
    asio::async_write(
        socket,
        buffers,
        [self, body = request.body](const beast::error_code&, std::size_t)
        {
            // Errors are handled by the read, which also delivers an answer
            // that the worker may have sent before it closed.
            self->state_->sending = false;
        });
}

void upstream_connection::state::reset_parser()
{
    parser.emplace();
    parser->eager(true);
    // The parser allocates a stated length at once.
    parser->body_limit(answer_memory.limit());
    parser->header_limit(max_answer_head_bytes);
    parser->skip(request.head_request);
    answer_bytes.release();
}

// Returns false if the answer takes more memory than there is. A length that
// the worker states counts at once, a body without length as it comes.
bool upstream_connection::state::reserve_answer_memory()
{
    if (!parser->is_header_done())
    {
        return true;
    }
    const std::uint64_t received = parser->get().body().size();
    const auto stated = request.head_request ? boost::optional<std::uint64_t>{}
                                             : parser->content_length();
    return answer_bytes.try_grow(std::max(received, stated.value_or(0)));
}

void upstream_connection::state::fail_answer(std::string detail)
{
    close();
    parser.reset();
    answer_bytes.release();
    report({exchange_status::invalid_answer, {}, reused, std::move(detail)});
}

void upstream_connection::state::read(
    const std::shared_ptr<upstream_connection>& self)
{
    constexpr std::size_t read_size = 8 * 1024;
    socket.async_read_some(
        buffer.prepare(read_size),
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
            s.buffer.commit(size);
            if (!s.handler)
            {
                // Unsolicited bytes on an idle connection.
                s.close();
                return;
            }
            s.parse(self);
            if (!s.closed)
            {
                s.read(self);
            }
        });
}

void upstream_connection::state::parse(
    const std::shared_ptr<upstream_connection>& self)
{
    while (handler && buffer.size() > 0)
    {
        answer_started = true;
        beast::error_code failure;
        const auto used = parser->put(buffer.data(), failure);
        buffer.consume(used);
        if (failure == http::error::need_more)
        {
            return;
        }
        if (failure)
        {
            fail_answer(failure.message());
            return;
        }
        if (!reserve_answer_memory())
        {
            fail_answer("no memory for the answer");
            return;
        }
        if (!parser->is_done())
        {
            if (used == 0)
            {
                return;
            }
            continue;
        }
        finish_answer(self);
    }
}

void upstream_connection::state::finish_answer(
    const std::shared_ptr<upstream_connection>& self)
{
    const bool keep_open = parser->keep_alive();
    auto message = parser->release();
    if (message.result_int() < min_final_status)
    {
        if (message.result() == http::status::switching_protocols)
        {
            fail_answer("switching protocols");
            return;
        }
        reset_parser();
        return;
    }
    const std::string echoed{message[request.id_field]};
    if (!request.id.empty() && !echoed.empty() && echoed != request.id)
    {
        // An answer to an earlier request; the expected one may still follow.
        stale_answer_seen = true;
        ++stale_answers;
        if (!keep_open || stale_answers > max_stale_answers)
        {
            fail_answer("answer to another request");
            return;
        }
        reset_parser();
        return;
    }
    if (const auto time = keep_alive_time(message[http::field::keep_alive]))
    {
        keep_alive = *time;
    }
    used_before = true;
    last_used = base::monotonic_clock::now();
    const bool reusable =
        keep_open && !stale_answer_seen && !sending && buffer.size() == 0;
    exchange_outcome outcome{
        .status = exchange_status::answered,
        .answer = to_response(std::move(message)),
        .reused = reused,
        .answer_bytes = std::exchange(
            answer_bytes, base::byte_hold{answer_memory})};
    if (!reusable)
    {
        close();
    }
    report(std::move(outcome));
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
    // An answer without Content-Length is complete only if the connection was
    // closed with FIN, not with a reset.
    if (failure == asio::error::eof && answer_started &&
        parser->is_header_done() && parser->need_eof())
    {
        beast::error_code end_failure;
        parser->put_eof(end_failure);
        if (!end_failure && parser->is_done())
        {
            finish_answer(self);
            return;
        }
    }
    close();
    report(
        {answer_started ? exchange_status::invalid_answer
                        : exchange_status::closed_early,
         {},
         reused,
         failure.message()});
}

void upstream_connection::state::report(exchange_outcome outcome)
{
    if (!handler)
    {
        return;
    }
    const auto callback = std::exchange(handler, nullptr);
    callback(std::move(outcome));
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
