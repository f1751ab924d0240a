// An HTTP/1.1 server on one io_context: bounded in connections, head, body
// and time, one request at a time on a connection.
//
// A request is answered either at once by the fast handler or by the route
// handler's coroutine. The coroutine is cancelled when the caller hangs up.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/endpoint.hpp"
#include "base/result.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::net
{

struct server_limits
{
    std::uint32_t head_bytes{16 * 1024};
    std::uint64_t body_bytes{1024 * 1024};
    // All requests that are being read or run, and all answers that are being
    // written, together. Beyond it requests are refused.
    std::uint64_t memory_bytes{64 * 1024 * 1024};
    std::size_t connections{4096};
    // From a request's first byte to the end of its body.
    std::chrono::milliseconds receive_time{10'000};
    // A kept connection without a request is closed after this.
    std::chrono::milliseconds idle_time{60'000};
    // To write one whole answer to a caller who reads slowly.
    std::chrono::milliseconds send_time{30'000};
};

// The body that the server itself sends with a refusal of the wire level.
using refusal_body = std::function<http_response(const base::error&)>;

struct server_handlers
{
    // Answers at once, or nothing when the request needs the route handler.
    std::function<std::optional<http_response>(const http_request&)> fast{};
    // An empty result closes the connection without an answer.
    std::function<boost::asio::awaitable<std::optional<http_response>>(
        http_request)>
        route{};
    refusal_body refuse{};
};

class http_server
{
public:
    http_server(
        boost::asio::io_context& context,
        server_limits limits,
        server_handlers handlers);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Errors: address_in_use, address_unusable.
    base::result<void> listen(const base::endpoint& where);

    // Accepts no more connections and closes idle ones; what runs ends.
    void stop();

    // The same, and closes every connection; what runs is cancelled.
    void abort();

    // Connections that are open now.
    std::size_t connections() const;
    // Requests that a handler works on now.
    std::size_t running() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace waxwingvalve::net
