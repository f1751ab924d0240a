// HTTP/1.1 towards upstreams, peers and the platform: one connection, one
// request at a time, every answer whole or none.
#pragma once

#include <cstdint>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/endpoint.hpp"
#include "base/result.hpp"
#include "base/time.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::net
{

// How far a failed exchange got; decides whether the request can have run.
enum class exchange_progress : std::uint8_t
{
    // No byte of the request can have reached the other end.
    nothing_sent,
    // Some or all of the request may have reached the other end.
    maybe_sent,
};

struct exchange_failure
{
    base::error reason{};
    exchange_progress progress{exchange_progress::nothing_sent};
};

// Most bytes of an answer's body where nothing else is said.
constexpr std::uint64_t default_answer_bytes = 8ULL * 1024 * 1024;

// Time that an answer may take. What arrives shows that the other end is there,
// so that a long answer on a slow link is waited for, and a lost one isn't.
struct answer_time
{
    // The first byte arrives by then.
    base::instant first_byte_by{};
    // Longest pause between two arrivals after it.
    base::duration max_pause{};
    // The whole answer is there by then, however steadily it arrives.
    base::instant end_by{};
};

using exchange_result =
    boost::outcome_v2::checked<http_response, exchange_failure>;

// Invariant: after any failure or cancellation the connection is closed and
// never used again, so that a late answer cannot meet the next request.
class http_connection
{
public:
    // An answer with a longer body is refused.
    explicit http_connection(
        const boost::asio::any_io_executor& executor,
        std::uint64_t max_body_bytes = default_answer_bytes);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    // Errors: connect_failed, deadline_passed.
    boost::asio::awaitable<base::result<void>> connect(
        const base::endpoint& where, base::instant deadline);

    // Sends and waits for the whole answer. Errors: answer_lost,
    // deadline_passed, request_malformed, answer_too_large.
    boost::asio::awaitable<exchange_result> exchange(
        const http_request& request, base::instant deadline);
    boost::asio::awaitable<exchange_result> exchange(
        const http_request& request, answer_time time);

    // True while the last exchange ended well and the other end has not
    // closed; a connection forgotten in between still looks open.
    bool open() const;
    // When the other end was last heard on this connection.
    base::instant last_heard() const;
    // Bytes that came in the last exchange, whether or not it ended well.
    std::uint64_t received_bytes() const;
    // When the first of them came; the clock's beginning before there was one.
    base::instant answer_began() const;
    void close();

private:
    struct state;
    std::unique_ptr<state> state_;
};

// One request on a connection of its own.
boost::asio::awaitable<exchange_result> fetch(
    base::endpoint where,
    http_request request,
    base::instant deadline,
    std::uint64_t max_body_bytes = default_answer_bytes);

// The same for a program without an io_context; blocks.
exchange_result fetch_blocking(
    const base::endpoint& where,
    const http_request& request,
    base::duration timeout);

} // namespace waxwingvalve::net
