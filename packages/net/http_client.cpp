#include "net/http_client.hpp"

#include <optional>
#include <tuple>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/run_blocking.hpp"

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
constexpr unsigned first_final_status = 200;
constexpr std::uint64_t answer_bytes_limit = 8ULL * 1024 * 1024;

http::request<http::string_body> to_message(const http_request& request)
{
    http::request<http::string_body> out;
    out.method_string(request.method);
    out.target(request.target);
    for (const auto& [name, value] : request.fields)
    {
        out.insert(name, value);
    }
    out.body() = request.body;
    out.keep_alive(true);
    out.prepare_payload();
    return out;
}

http_response to_response(http::response<http::string_body>&& message)
{
    http_response out;
    out.status = message.result_int();
    for (const auto& field : message)
    {
        if (!hop_by_hop(field.name_string()))
        {
            out.fields.push_back({field.name_string(), field.value()});
        }
    }
    out.body = std::move(message.body());
    return out;
}

base::error to_error(beast::error_code failure, result_code otherwise)
{
    if (failure == beast::error::timeout)
    {
        return {result_code::deadline_passed};
    }
    if (failure == http::error::body_limit)
    {
        return {result_code::answer_too_large};
    }
    return {otherwise, failure.message()};
}

bool interim(const http::response<http::string_body>& message)
{
    return message.result_int() < first_final_status &&
           message.result() != http::status::switching_protocols;
}

} // namespace

struct http_connection::state
{
    explicit state(const asio::any_io_executor& executor) : stream{executor} {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    base::instant last_heard{};
    bool usable{false};
};

http_connection::http_connection(const asio::any_io_executor& executor)
    : state_{std::make_unique<state>(executor)}
{
}

http_connection::~http_connection() = default;

asio::awaitable<base::result<void>> http_connection::connect(
    const base::endpoint& where, base::instant deadline)
{
    beast::error_code failure;
    const auto address = asio::ip::make_address(where.address, failure);
    if (failure)
    {
        co_return base::fail(result_code::connect_failed, to_string(where));
    }
    state_->stream.expires_at(deadline);
    std::tie(failure) = co_await state_->stream.async_connect(
        tcp::endpoint{address, where.port}, use_tuple);
    if (failure)
    {
        auto reason = to_error(failure, result_code::connect_failed);
        reason.detail = to_string(where) + ": " + failure.message();
        co_return boost::outcome_v2::failure(std::move(reason));
    }
    state_->stream.socket().set_option(tcp::no_delay{true}, failure);
    state_->last_heard = base::monotonic_clock::now();
    state_->usable = true;
    co_return base::success();
}

asio::awaitable<exchange_result> http_connection::exchange(
    const http_request& request, base::instant deadline)
{
    // Set before the first byte can leave: a cancellation anywhere below
    // must leave the connection unusable.
    state_->usable = false;
    auto message = to_message(request);
    state_->stream.expires_at(deadline);
    auto [write_failure, written] =
        co_await http::async_write(state_->stream, message, use_tuple);
    if (write_failure)
    {
        close();
        co_return boost::outcome_v2::failure(exchange_failure{
            to_error(write_failure, result_code::answer_lost),
            written == 0 ? exchange_progress::nothing_sent
                         : exchange_progress::maybe_sent});
    }

    // Interim answers (1xx) come before the answer and are not passed on.
    constexpr int most_interim_answers = 8;
    std::optional<http::response_parser<http::string_body>> parser;
    beast::error_code read_failure;
    for (int seen = 0; seen <= most_interim_answers; ++seen)
    {
        parser.emplace();
        parser->body_limit(answer_bytes_limit);
        // HEAD answers carry a length but no body.
        parser->skip(request.method == "HEAD");
        std::tie(read_failure, std::ignore) = co_await http::async_read(
            state_->stream, state_->buffer, *parser, use_tuple);
        if (read_failure || !interim(parser->get()))
        {
            break;
        }
    }
    // A body that only ends with the connection cannot be told from one that
    // was cut short, so it does not count as whole, not even when empty. An
    // answer that switches protocols is none at all.
    const bool whole = !read_failure && !parser->need_eof() &&
                       parser->get().result_int() >= first_final_status;
    if (!whole)
    {
        close();
        co_return boost::outcome_v2::failure(exchange_failure{
            to_error(read_failure, result_code::answer_lost),
            exchange_progress::maybe_sent});
    }
    state_->last_heard = base::monotonic_clock::now();
    state_->stream.expires_never();
    state_->usable = parser->keep_alive() && state_->buffer.size() == 0;
    if (!state_->usable)
    {
        close();
    }
    co_return to_response(parser->release());
}

bool http_connection::open() const
{
    if (!state_->usable)
    {
        return false;
    }
    // A closed or chattering peer shows as readable: neither may be reused.
    char byte{};
    beast::error_code failure;
    auto& socket = state_->stream.socket();
    socket.non_blocking(true, failure);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

base::instant http_connection::last_heard() const
{
    return state_->last_heard;
}

void http_connection::close()
{
    state_->usable = false;
    state_->stream.close();
}

asio::awaitable<exchange_result> fetch(
    base::endpoint where, http_request request, base::instant deadline)
{
    http_connection connection{co_await asio::this_coro::executor};
    auto connected = co_await connection.connect(where, deadline);
    if (!connected)
    {
        co_return boost::outcome_v2::failure(exchange_failure{
            connected.error(), exchange_progress::nothing_sent});
    }
    co_return co_await connection.exchange(request, deadline);
}

exchange_result fetch_blocking(
    const base::endpoint& where,
    const http_request& request,
    base::duration timeout)
{
    const auto deadline = base::monotonic_clock::now() + timeout;
    return run_blocking(fetch(where, request, deadline));
}

} // namespace waxwingvalve::net
