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
#include <boost/beast/core/error.hpp>

#include "net/guarded.hpp"
#include "net/message_reader.hpp"

namespace waxwingvalve::front
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

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
// Keep-alive time assumed when the worker sends no Keep-Alive header.
constexpr std::chrono::seconds default_keep_alive{5};

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

struct upstream_connection::state
{
    state(
        asio::io_context& context,
        base::endpoint address,
        std::shared_ptr<base::byte_budget> memory,
        std::uint64_t max_answer_bytes)
        : worker_address{std::move(address)}, socket{context}, timer{context},
          max_body_bytes{max_answer_bytes}, reader{std::move(memory)}
    {
    }

    base::endpoint worker_address;
    tcp::socket socket;
    asio::steady_timer timer;
    std::uint64_t max_body_bytes;
    std::uint64_t set_aside_bytes{0};
    // Target of the pending read.
    std::array<char, 8 * 1024> input{};
    net::answer_reader reader;
    upstream_request request;
    exchange_handler handler;
    idle_handler idle;
    bool connected{false};
    bool closed{false};
    bool sending{false};
    bool used_before{false};
    bool reused{false};
    bool answer_started{false};
    // An answer on this connection had an id.
    bool worker_sends_ids{false};
    // The worker may not have read all of a body that was sent.
    bool long_body_sent{false};
    // An answer to an earlier request arrived: the connection must not be
    // reused.
    bool stale_answer_seen{false};
    int stale_answers{0};
    int interim_answers{0};
    base::instant last_used{base::monotonic_clock::now()};
    base::duration keep_alive{default_keep_alive};

    void connect(const std::shared_ptr<upstream_connection>& self);
    void send(const std::shared_ptr<upstream_connection>& self);
    void set_acknowledgement_timeout(std::chrono::milliseconds time);
    void withdraw(const std::shared_ptr<upstream_connection>& self);
    void read(const std::shared_ptr<upstream_connection>& self);
    void parse(const std::shared_ptr<upstream_connection>& self);
    void set_aside(base::byte_hold memory);
    void begin_answer();
    void fail_answer(
        std::string_view detail,
        net::message_fault fault = net::message_fault::none);
    void handle_message(const std::shared_ptr<upstream_connection>& self);
    bool answers_another(const net::http_response& answer);
    void handle_interim(unsigned status);
    void handle_stale(bool keep_open);
    void finish_answer(
        const std::shared_ptr<upstream_connection>& self,
        net::received_message<false> received);
    void handle_read_error(
        const std::shared_ptr<upstream_connection>& self,
        const beast::error_code& failure);
    void report(exchange_outcome outcome);
    void drop_request();
    void discard_unsent();
    void close();
};

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
                s.reader.stop();
                s.report(
                    {.status = exchange_status::not_connected,
                     .detail = reason.message()});
                return;
            }
            beast::error_code ignored;
            s.socket.set_option(tcp::no_delay{true}, ignored);
            s.set_acknowledgement_timeout(unacknowledged_timeout);
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
            if (!self->state_->handler)
            {
                self->state_->drop_request();
            }
        });
}

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
                          !sending && reader.buffered() == 0;
    if (!reusable)
    {
        close();
    }
    report(
        {.status = exchange_status::answered,
         .answer = std::move(received.message),
         .reused = reused,
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
    // An answer without Content-Length is complete only if the connection was
    // closed with FIN, not with a reset.
    if (failure == asio::error::eof && reader.end_of_input())
    {
        handle_message(self);
        return;
    }
    close();
    reader.stop();
    report(
        {.status = answer_started ? exchange_status::invalid_answer
                                  : exchange_status::closed_early,
         .reused = reused,
         .detail = failure.message(),
         .bytes_read = reader.bytes_read()});
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
