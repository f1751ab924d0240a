#include "net/http_client.hpp"

#include <algorithm>
#include <array>
#include <tuple>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/message_reader.hpp"
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
constexpr unsigned status_switching_protocols = 101;
// Interim answers (1xx) come before the answer and are not passed on.
constexpr int max_interim_answers = 8;

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

base::error to_error(beast::error_code failure, result_code otherwise)
{
    if (failure == beast::error::timeout)
    {
        return {result_code::deadline_passed};
    }
    return {otherwise, failure.message()};
}

base::error to_error(message_fault fault)
{
    return {
        fault == message_fault::body_too_large ? result_code::answer_too_large
                                               : result_code::answer_lost};
}

bool interim(const http_response& answer)
{
    return answer.status < first_final_status &&
           answer.status != status_switching_protocols;
}

} // namespace

struct http_connection::state
{
    state(const asio::any_io_executor& executor, std::uint64_t max_body_bytes)
        : limits{.body_bytes = max_body_bytes}, stream{executor}
    {
    }

    asio::awaitable<base::result<received_message<false>>> receive(
        bool without_body, const answer_time& time);
    // When the next bytes are waited for no longer.
    base::instant next_bytes_by(const answer_time& time) const;

    message_limits limits;
    beast::tcp_stream stream;
    std::array<char, 8 * 1024> input{};
    answer_reader reader{};
    base::instant last_heard{};
    // In the last exchange.
    std::uint64_t received_bytes{0};
    base::instant answer_began{};
    bool usable{false};
};

http_connection::http_connection(
    const asio::any_io_executor& executor, std::uint64_t max_body_bytes)
    : state_{std::make_unique<state>(executor, max_body_bytes)}
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
    return exchange(
        request,
        answer_time{
            .first_byte_by = deadline,
            .max_pause = base::duration::max(),
            .end_by = deadline});
}

asio::awaitable<exchange_result> http_connection::exchange(
    const http_request& request, answer_time time)
{
    // Set before the first byte can leave: a cancellation anywhere below
    // must leave the connection unusable.
    state_->usable = false;
    state_->received_bytes = 0;
    state_->answer_began = {};
    auto message = to_message(request);
    state_->stream.expires_at(time.first_byte_by);
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

    // The answer to a HEAD request carries a length but no body.
    auto received = co_await state_->receive(request.method == "HEAD", time);
    for (int seen = 0; seen < max_interim_answers && received &&
                       interim(received.value().message);
         ++seen)
    {
        received = co_await state_->receive(request.method == "HEAD", time);
    }
    // Still an interim answer, or one that switches protocols, which is none.
    const bool final_answer =
        received && received.value().message.status >= first_final_status;
    if (!final_answer)
    {
        close();
        co_return boost::outcome_v2::failure(exchange_failure{
            received ? base::error{result_code::answer_lost} : received.error(),
            exchange_progress::maybe_sent});
    }
    state_->last_heard = base::monotonic_clock::now();
    state_->stream.expires_never();
    state_->usable =
        received.value().keep_alive && state_->reader.buffered() == 0;
    if (!state_->usable)
    {
        close();
    }
    co_return std::move(received.value().message);
}

// Reads one answer, interim ones too. A body that only ends with the connection
// cannot be told from one that was cut short, so it does not count as whole,
// not even when empty.
asio::awaitable<base::result<received_message<false>>>
http_connection::state::receive(bool without_body, const answer_time& time)
{
    reader.begin(limits, without_body);
    for (;;)
    {
        const auto event = reader.next();
        if (event == read_event::message)
        {
            co_return reader.take();
        }
        if (event == read_event::refused)
        {
            reader.stop();
            co_return boost::outcome_v2::failure(to_error(reader.fault()));
        }
        if (event == read_event::head)
        {
            continue;
        }
        stream.expires_at(next_bytes_by(time));
        auto [failure, size] =
            co_await stream.async_read_some(asio::buffer(input), use_tuple);
        if (failure)
        {
            reader.stop();
            co_return boost::outcome_v2::failure(
                to_error(failure, result_code::answer_lost));
        }
        if (received_bytes == 0)
        {
            answer_began = base::monotonic_clock::now();
        }
        received_bytes += size;
        reader.append(asio::buffer(input, size));
    }
}

base::instant http_connection::state::next_bytes_by(
    const answer_time& time) const
{
    if (received_bytes == 0)
    {
        return std::min(time.first_byte_by, time.end_by);
    }
    const auto now = base::monotonic_clock::now();
    return time.end_by - now < time.max_pause ? time.end_by
                                              : now + time.max_pause;
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

std::uint64_t http_connection::received_bytes() const
{
    return state_->received_bytes;
}

base::instant http_connection::answer_began() const
{
    return state_->answer_began;
}

void http_connection::close()
{
    state_->usable = false;
    state_->stream.close();
}

asio::awaitable<exchange_result> fetch(
    base::endpoint where,
    http_request request,
    base::instant deadline,
    std::uint64_t max_body_bytes)
{
    http_connection connection{
        co_await asio::this_coro::executor, max_body_bytes};
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
