// HTTP/1.1 client connection to a worker. It carries one request at a time and
// delivers only complete answers.
//
// A read is always pending, also while the connection is idle, so that a close
// or unsolicited bytes from the worker are noticed before the next request is
// written.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/byte_budget.hpp"
#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "decision/steering/contact_loss.hpp"
#include "net/http_message.hpp"
#include "net/message_parser.hpp"

namespace waxwingvalve::front
{

using decision::steering::contact_loss;

// How an exchange of a request and its answer ended.
enum class exchange_status : std::uint8_t
{
    // A complete answer was received.
    answered,
    // The connection could not be established; nothing was sent.
    not_connected,
    // The connection closed before the first byte of an answer.
    closed_early,
    // The answer was malformed, truncated or for another request.
    invalid_answer,
    // The request was no longer allowed there once the connection was open;
    // nothing was sent.
    withdrawn,
};

// A request as it is written to a worker.
struct upstream_request
{
    // Request line and header fields, with the empty line that ends them.
    std::string head{};
    std::shared_ptr<const std::string> body{};
    // An answer whose header `id_field` differs from `id` belongs to an earlier
    // request and is discarded. So is one without it, if the worker has sent
    // ids on the connection before.
    std::string id_field{};
    std::string id{};
    // The answer has no body.
    bool head_request{};
    // Memory that was set aside for the answer, and how more of it is taken.
    base::byte_hold answer_memory{};
    base::byte_claim beyond{base::byte_claim::ordinary};
    // Most bytes of the answer's body; 0 for the connection's own limit.
    std::uint64_t max_answer_bytes{};
    // Until then the worker may leave a long body unread.
    base::instant deadline{};
    // Asked when a new connection is open: whether the request may still be
    // sent. Always, if there is none.
    std::function<bool()> may_send{};
};

// Result of one exchange.
struct exchange_outcome
{
    exchange_status status{exchange_status::not_connected};
    net::http_response answer{};
    // The connection had already carried an exchange.
    bool reused{};
    // What the end of the exchange tells of the worker.
    contact_loss lost{contact_loss::none};
    // When the connection was open.
    base::instant connected_at{};
    // Error description; empty when answered.
    std::string detail{};
    // Why an invalid answer could not be read, and how much of it was.
    net::message_fault fault{net::message_fault::none};
    std::uint64_t bytes_read{};
    // Memory of the answer, and what is enough to read such an answer.
    base::byte_hold answer_bytes{};
    std::uint64_t needed_memory{};
    // The answer may belong to an earlier request on the connection: it has no
    // id, nor had any before it.
    bool ambiguous{};
};

// A persistent connection to one worker.
class upstream_connection
    : public std::enable_shared_from_this<upstream_connection>
{
public:
    using exchange_handler = std::function<void(exchange_outcome)>;
    using idle_handler =
        std::function<void(const std::shared_ptr<upstream_connection>&)>;

    // TCP_USER_TIMEOUT: the connection fails when sent data stays
    // unacknowledged for longer, as when the worker's VM is gone or its network
    // drops packets. Long enough for three consecutive losses of a segment.
    static constexpr std::chrono::milliseconds unacknowledged_timeout{700};
    // A body of at most this size fits the window of any worker. A longer one
    // may be left unread while the worker is at work, and Linux applies
    // TCP_USER_TIMEOUT to a closed window, too, although its probes are
    // acknowledged. A connection that has carried one has until the deadline of
    // each request in place of unacknowledged_timeout.
    static constexpr std::size_t small_body_bytes{8 * 1024};
    static constexpr std::chrono::milliseconds connect_timeout{500};
    // A timer that fires later than this is due to a process that stood still,
    // which says nothing of the worker.
    static constexpr std::chrono::milliseconds late_timer{100};

    // What an answer takes beyond the memory that was set aside for it is taken
    // from `answer_memory`. An answer for which that has no room is invalid, as
    // is one with a longer body than `max_answer_bytes`.
    upstream_connection(
        boost::asio::io_context& context,
        base::endpoint worker_address,
        std::shared_ptr<base::byte_budget> answer_memory,
        std::uint64_t max_answer_bytes);
    ~upstream_connection();
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;

    // Sets the handler called when the connection can carry the next request.
    void on_idle(idle_handler handler);

    // Connects if needed, sends the request and calls `handler` once.
    void exchange(upstream_request request, exchange_handler handler);

    // Closes the connection without calling the handler. What the worker has
    // not received of an unanswered request is dropped.
    void abandon();

    // Whether anything of the latest request may have reached the worker.
    bool request_sent() const;
    // True when the connection is open and idle.
    bool usable() const;
    base::instant last_used() const;
    // How long the worker keeps the connection open while idle.
    base::duration keep_alive() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvalve::front
