#include "net/http_server.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/guarded.hpp"
#include "net/listening.hpp"
#include "net/message_reader.hpp"
#include "net/turn_away.hpp"

namespace waxwingvalve::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using base::result_code;
using tcp = asio::ip::tcp;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

// Counts a running request for as long as it lives, however it ends.
class running_count
{
public:
    explicit running_count(std::size_t& running) : running_{running}
    {
        ++running_;
    }
    ~running_count() { --running_; }
    running_count(const running_count&) = delete;
    running_count& operator=(const running_count&) = delete;

private:
    std::size_t& running_;
};

base::error to_error(message_fault fault)
{
    switch (fault)
    {
    case message_fault::ambiguous_length:
        return {result_code::request_ambiguous_length};
    case message_fault::head_too_large:
        return {result_code::request_header_too_large};
    case message_fault::body_too_large:
        return {result_code::request_body_too_large};
    case message_fault::framing_too_large:
        return {result_code::request_framing_too_large};
    case message_fault::no_memory:
    case message_fault::sender_share:
        return {result_code::overloaded};
    case message_fault::none:
    case message_fault::malformed:
        break;
    }
    return {result_code::request_malformed};
}

http::response<http::string_body> to_message(
    http_response&& answer, bool keep_alive)
{
    http::response<http::string_body> out;
    out.result(answer.status);
    for (const auto& [name, value] : answer.fields)
    {
        out.insert(name, value);
    }
    out.body() = std::move(answer.body);
    out.keep_alive(keep_alive);
    out.prepare_payload();
    return out;
}

} // namespace

struct http_server::state : std::enable_shared_from_this<state>
{
    state(asio::io_context& c, server_limits l, server_handlers h)
        : context{c}, limits{l}, handlers{std::move(h)}, memory{l.memory_bytes},
          acceptor{c}
    {
    }

    class session;

    asio::awaitable<void> accept_loop();

    asio::io_context& context;
    server_limits limits;
    server_handlers handlers;
    // Before the sessions, which hold parts of it.
    base::byte_budget memory;
    tcp::acceptor acceptor;
    std::set<session*> sessions;
    std::size_t running{0};
    bool stopping{false};
};

// One connection. Invariant: it is in `sessions` from construction to end.
class http_server::state::session : public std::enable_shared_from_this<session>
{
public:
    session(std::shared_ptr<state> owner, tcp::socket socket)
        : owner_{std::move(owner)}, socket_{std::move(socket)},
          timer_{owner_->context}, reader_{owner_->memory}
    {
        owner_->sessions.insert(this);
    }
    ~session() { owner_->sessions.erase(this); }
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    asio::awaitable<void> run();

    // Ends the wait for a next request; a running one is left alone.
    void close_if_idle()
    {
        if (idle_)
        {
            beast::error_code ignored;
            socket_.cancel(ignored);
        }
    }

    void close()
    {
        beast::error_code ignored;
        socket_.close(ignored);
    }

private:
    asio::awaitable<bool> serve_one();
    asio::awaitable<bool> wait_for_first_byte();
    asio::awaitable<bool> receive_some();
    asio::awaitable<std::optional<base::error>> receive();
    asio::awaitable<void> write_continue();
    asio::awaitable<bool> send(http_response answer, bool keep_alive);
    asio::awaitable<std::optional<http_response>> answer(http_request request);
    asio::awaitable<void> wait_for_hang_up();
    void start_timer(std::chrono::milliseconds time);

    std::shared_ptr<state> owner_;
    tcp::socket socket_;
    // Beast's own timeout closes the socket, and a slow sender is owed an
    // answer with a code; this one only cancels what the socket waits for.
    asio::steady_timer timer_;
    bool timed_out_{false};
    std::array<char, 4 * 1024> received_{};
    request_reader reader_;
    bool idle_{true};
};

void http_server::state::session::start_timer(std::chrono::milliseconds time)
{
    timed_out_ = false;
    timer_.expires_after(time);
    timer_.async_wait(
        [weak = weak_from_this()](const beast::error_code& cancelled)
        {
            const auto self = weak.lock();
            if (cancelled || !self)
            {
                return;
            }
            self->timed_out_ = true;
            beast::error_code ignored;
            self->socket_.cancel(ignored);
        });
}

asio::awaitable<void> http_server::state::session::run()
{
    while (co_await serve_one())
    {
    }
    timer_.cancel();
    beast::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

// Returns false if the connection ended or the timer ran out.
asio::awaitable<bool> http_server::state::session::receive_some()
{
    auto [failure, size] =
        co_await socket_.async_read_some(asio::buffer(received_), use_tuple);
    if (failure)
    {
        co_return false;
    }
    reader_.append(asio::buffer(received_, size));
    co_return true;
}

asio::awaitable<bool> http_server::state::session::wait_for_first_byte()
{
    if (reader_.buffered() > 0)
    {
        co_return true;
    }
    idle_ = true;
    start_timer(owner_->limits.idle_time);
    const bool received = co_await receive_some();
    idle_ = false;
    co_return received;
}

asio::awaitable<void> http_server::state::session::write_continue()
{
    static constexpr std::string_view answer{"HTTP/1.1 100 Continue\r\n\r\n"};
    co_await asio::async_write(socket_, asio::buffer(answer), use_tuple);
}

// Nothing when the whole request came, or why it is refused. A caller who
// leaves in the middle gets a refusal that nobody reads.
asio::awaitable<std::optional<base::error>>
http_server::state::session::receive()
{
    reader_.begin(
        {.head_bytes = owner_->limits.head_bytes,
         .body_bytes = owner_->limits.body_bytes});
    start_timer(owner_->limits.receive_time);
    for (;;)
    {
        const auto event = reader_.next();
        if (event == read_event::message)
        {
            co_return std::nullopt;
        }
        if (event == read_event::refused)
        {
            co_return to_error(reader_.fault());
        }
        if (event == read_event::head)
        {
            if (reader_.continue_expected())
            {
                co_await write_continue();
            }
            continue;
        }
        if (!co_await receive_some())
        {
            co_return base::error{
                timed_out_ ? result_code::request_too_slow
                           : result_code::request_malformed};
        }
    }
}

asio::awaitable<bool> http_server::state::session::serve_one()
{
    if (!co_await wait_for_first_byte())
    {
        co_return false;
    }
    if (auto refusal = co_await receive())
    {
        reader_.stop();
        auto answer = owner_->handlers.refuse(*refusal);
        co_return co_await send(std::move(answer), false);
    }
    timer_.cancel();

    auto received = reader_.take();
    if (owner_->memory.used() > owner_->memory.limit())
    {
        // Answers that others leave unread.
        auto refusal = owner_->handlers.refuse({result_code::overloaded});
        co_return co_await send(std::move(refusal), false);
    }
    const bool keep_alive = received.keep_alive && !owner_->stopping;
    auto reply = co_await answer(std::move(received.message));
    if (!reply)
    {
        co_return false;
    }
    co_return co_await send(std::move(*reply), keep_alive);
}

asio::awaitable<std::optional<http_response>>
http_server::state::session::answer(http_request request)
{
    using namespace asio::experimental::awaitable_operators;
    if (auto quick = owner_->handlers.fast(request))
    {
        co_return quick;
    }
    const running_count count{owner_->running};
    auto outcome = co_await (
        owner_->handlers.route(std::move(request)) || wait_for_hang_up());
    if (outcome.index() == 0)
    {
        co_return std::move(std::get<0>(outcome));
    }
    co_return std::nullopt;
}

// Returns when the caller has closed its side. Bytes that arrive meanwhile
// (a pipelined request) end the watch without ending the request.
asio::awaitable<void> http_server::state::session::wait_for_hang_up()
{
    auto [failure] =
        co_await socket_.async_wait(tcp::socket::wait_read, use_tuple);
    if (failure)
    {
        co_return;
    }
    char byte{};
    beast::error_code peek_failure;
    socket_.non_blocking(true, peek_failure);
    socket_.receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, peek_failure);
    if (peek_failure)
    {
        co_return;
    }
    asio::steady_timer never{socket_.get_executor()};
    never.expires_at(asio::steady_timer::time_point::max());
    co_await never.async_wait(use_tuple);
}

asio::awaitable<bool> http_server::state::session::send(
    http_response answer, bool keep_alive)
{
    base::byte_hold held{owner_->memory};
    held.resize(memory_of(answer));
    auto message = to_message(std::move(answer), keep_alive);
    start_timer(owner_->limits.send_time);
    auto [failure, size] =
        co_await http::async_write(socket_, message, use_tuple);
    co_return !failure && keep_alive;
}

asio::awaitable<void> http_server::state::accept_loop()
{
    while (!stopping)
    {
        auto [failure, socket] = co_await acceptor.async_accept(use_tuple);
        if (failure == asio::error::operation_aborted)
        {
            co_return;
        }
        if (failure)
        {
            asio::steady_timer pause{context, accept_pause};
            co_await pause.async_wait(use_tuple);
            continue;
        }
        if (sessions.size() >= limits.connections)
        {
            turn_away(
                std::move(socket),
                handlers.refuse(
                    base::error{result_code::too_many_connections}));
            continue;
        }
        beast::error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        auto connection =
            std::make_shared<session>(shared_from_this(), std::move(socket));
        co_spawn(
            context,
            [connection]() -> asio::awaitable<void>
            { co_await connection->run(); },
            report_failure_of("server connection"));
    }
}

http_server::http_server(
    asio::io_context& context, server_limits limits, server_handlers handlers)
    : state_{std::make_shared<state>(context, limits, std::move(handlers))}
{
}

http_server::~http_server()
{
    stop();
}

base::result<void> http_server::listen(const base::endpoint& where)
{
    BOOST_OUTCOME_TRY(open_listener(state_->acceptor, where));
    co_spawn(
        state_->context,
        [self = state_]() -> asio::awaitable<void>
        { co_await self->accept_loop(); },
        report_failure_of("server"));
    return base::success();
}

void http_server::stop()
{
    state_->stopping = true;
    beast::error_code ignored;
    state_->acceptor.close(ignored);
    for (auto* connection : state_->sessions)
    {
        connection->close_if_idle();
    }
}

void http_server::abort()
{
    stop();
    for (auto* connection : state_->sessions)
    {
        connection->close();
    }
}

std::size_t http_server::connections() const
{
    return state_->sessions.size();
}

std::size_t http_server::running() const
{
    return state_->running;
}

} // namespace waxwingvalve::net
