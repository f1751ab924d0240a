// Serves one HTTP/1.1 connection of a caller. Requests may be pipelined;
// answers are sent in request order.
//
// Idempotent requests start as soon as they are read. A non-idempotent request
// starts only when it is the oldest unanswered one: if the connection closed
// after an earlier answer, the caller would send it again, and it could run
// twice.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "base/byte_budget.hpp"
#include "base/time.hpp"
#include "decision/steering/configuration.hpp"
#include "front/request_flow.hpp"
#include "net/message_reader.hpp"

namespace waxwingvalve::front
{

// A caller's connection, from accept to close.
class client_session : public std::enable_shared_from_this<client_session>
{
public:
    using closed_handler =
        std::function<void(const std::shared_ptr<client_session>&)>;

    // `caller` is the caller's IP number.
    client_session(
        serving_context& context,
        boost::asio::ip::tcp::socket socket,
        const std::string& caller,
        closed_handler on_closed);
    client_session(const client_session&) = delete;
    client_session& operator=(const client_session&) = delete;

    void start();

    // Enforces the timeouts for receiving a request head, for bodies that make
    // no progress, for idle connections, for writing an answer and for
    // lingering after shutdown.
    void check_timeouts(base::instant now);

    // Stops reading requests and closes the connection after the last pending
    // answer, which carries "Connection: close". An idle connection is closed
    // when no request comes for a moment more; it must be called again for
    // that.
    void begin_shutdown();

    // Adds "Connection: close" to the next answer after which no started
    // request is pending, and closes the connection after it.
    void announce_close() { close_announced_ = true; }

    // Ends every request that has no answer yet with what is known of it.
    void end_unfinished();

    // Number of requests that were read and are not answered yet.
    std::size_t open_requests() const { return pending_.size(); }

private:
    // A request and, once it is finished, its answer.
    struct pending_request
    {
        std::shared_ptr<request_flow> flow{};
        std::optional<net::http_response> answer{};
        // Memory of the answer's body.
        base::byte_hold answer_bytes{};
        bool started{};
        bool head_request{};
        // Close the connection after this answer.
        bool close_after_answer{};
    };
    using pending_ptr = std::shared_ptr<pending_request>;

    // Bytes for the caller, and the memory of their body.
    struct outgoing
    {
        std::string head{};
        std::string body{};
        base::byte_hold memory{};
    };

    void read();
    void handle_input(std::size_t size);
    void process_input();
    void resume_input();
    bool parse_request();
    void queue_request();
    void begin_request();
    void refuse_input(base::result_code code);
    void queue_refusal(net::http_response refusal, base::result_code code);
    void queue_answer(pending_request& answered, bool close);
    void start_pending();
    request_flow::responder responder_to(const pending_ptr& pending);
    // Bytes of answers that the caller has not taken yet.
    std::uint64_t unread_bytes() const;
    void handle_answer();
    void send_finished_answers();
    void write();
    void write_continue();
    // Cancels what is pending and closes the connection.
    void handle_disconnect(std::string_view reason);
    void log_unanswered(std::string_view reason) const;
    // Closes the connection once the caller does, or a while after `since`.
    void linger(base::instant since);
    void close();
    bool may_read_more() const;

    serving_context& context_;
    // What this caller's requests and its unread answers may take.
    std::shared_ptr<base::byte_budget> request_memory_;
    std::shared_ptr<base::byte_budget> answer_memory_;
    boost::asio::ip::tcp::socket socket_;
    closed_handler on_closed_;
    // Target of the pending read. It is not a part of the reader's buffer,
    // which is consumed while a read is pending and then reuses its space.
    std::array<char, 8 * 1024> received_;
    net::request_reader reader_;
    std::deque<pending_ptr> pending_;
    std::vector<outgoing> output_;
    std::vector<outgoing> output_in_flight_;
    // Of both.
    std::uint64_t output_bytes_{0};
    base::instant idle_since_;
    // When parsing of the current, incomplete request began.
    std::optional<base::instant> request_started_at_;
    base::instant last_input_at_{};
    std::optional<base::instant> write_started_at_;
    std::optional<base::instant> shutdown_started_at_;
    std::optional<base::instant> linger_started_at_;
    bool reading_{false};
    // No further requests are read from the connection.
    bool input_ended_{false};
    bool close_announced_{false};
    // The output holds an answer with "Connection: close".
    bool close_after_write_{false};
    bool closed_{false};
};

} // namespace waxwingvalve::front
