// Handles one request: selects a worker, sends the request, retries when that
// is safe, and produces the answer for the caller.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/time.hpp"
#include "decision/steering/configuration.hpp"
#include "front/fleet_view.hpp"
#include "front/request_quota.hpp"
#include "front/serving_context.hpp"
#include "front/upstream_connection.hpp"
#include "net/answers.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::front
{

// A request from the receipt of its last byte to its answer.
class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    using responder = std::function<void(net::http_response)>;

    // `body_bytes` holds the memory of the request's body; its answer takes
    // memory from `answer_memory`, the caller's part.
    request_flow(
        serving_context& context,
        net::http_request request,
        base::byte_hold body_bytes,
        std::shared_ptr<base::byte_budget> answer_memory);
    ~request_flow();
    request_flow(const request_flow&) = delete;
    request_flow& operator=(const request_flow&) = delete;

    std::string_view attempt_id() const { return attempt_id_; }

    // True for idempotent routes, and also when the request has no route (or no
    // configuration is known): it is then answered without being sent, so it
    // may start at any time.
    bool repeatable() const;

    // Starts the request. `respond` is called once, unless abandon() is called
    // first.
    void start(responder respond);

    // In place of start(): refuses the request, which has not run.
    void reject(const base::error& reason, responder respond);

    // Called when the caller disconnects. An idempotent request is cancelled; a
    // non-idempotent one that was sent runs to completion, so that its outcome
    // becomes known.
    void abandon();

    // Called when the process is about to end: answers at once, with what is
    // known of the request.
    void end_unfinished();

private:
    enum class execution_state : std::uint8_t
    {
        // No worker has run the request.
        not_run,
        // A worker may have run it.
        unknown,
    };

    bool admit();
    // Finds the account of the caller's key.
    std::optional<base::result_code> authenticate();
    // The first attempt, or a refusal if the account has used its quota.
    void handle_quota(const decision::quotas::spend_result& result);
    // A worker may have run the request.
    void note_execution();
    void adopt_current_homes();
    placement_request placement() const;
    void begin_attempt();
    // Sets memory aside for the answer; returns false if there is none.
    bool set_aside_answer();
    void send_to(const fleet_view::worker_ptr& worker);
    std::string serialize_head(const steering::worker& worker) const;
    bool passed_on(std::string_view name) const;
    void count_send();
    void abandon_attempt(upstream_connection& connection);
    void attempt_ended(
        const fleet_view::worker_ptr& worker, exchange_outcome outcome);
    void handle_answer(
        const fleet_view::worker_ptr& worker, exchange_outcome outcome);
    void handle_failure(
        const fleet_view::worker_ptr& worker, const exchange_outcome& outcome);
    void record_lost_contact(
        steering::worker& worker, contact_loss how, base::instant now);
    void record_not_connected(
        steering::worker& worker,
        const exchange_outcome& outcome,
        base::instant now);
    // Leaves a worker out for a while whose answers pass their bounds again.
    void record_oversized(
        steering::worker& worker, const exchange_outcome& outcome);
    // Records what the worker says of itself with any answer.
    void record_state(
        steering::worker& worker, const net::http_response& answer);
    void record_rate_limit(
        const steering::worker& worker, const exchange_outcome& outcome);
    void record_backoff(
        steering::worker& worker, const net::http_response& answer);
    // Sends the request to another worker if attempts, time and retry budget
    // allow it; otherwise answers the caller with `reason`.
    void retry_or_refuse(const base::error& reason, bool costs_budget);
    void refuse_without_token(const base::error& reason);
    void end_without_attempt(const base::error& reason);
    void time_out();
    void refuse(const base::error& reason);
    void finish(net::http_response answer, std::string_view end);
    void release_worker();
    base::duration time_left() const;
    // Whether the request can be expected to end before the process does.
    bool fits_before_stop() const;
    void log_end(std::string_view end, unsigned status) const;

    serving_context& context_;
    // Its body is in `body_`.
    net::http_request request_;
    // Shared with the connections that send it.
    std::shared_ptr<const std::string> body_;
    base::byte_hold body_bytes_;
    std::shared_ptr<base::byte_budget> answer_memory_;
    std::string attempt_id_;
    std::string object_;
    std::string service_;
    // A copy, because the configuration may be replaced while the request runs.
    // Its home regions are those of `homes_version_`.
    std::optional<steering::route> route_;
    // Null if the caller named none. Of the configuration at the receipt, but
    // for its home regions.
    std::shared_ptr<const decision::accounts::client_account> account_;
    request_quota quota_;
    base::duration quota_retry_after_{};
    // The configuration at the receipt has accounts.
    bool keeps_key_back_{false};
    // Configuration that was current when the request was read.
    std::uint64_t configuration_version_{};
    // Configuration whose home regions the newest attempt follows.
    std::uint64_t homes_version_{};
    std::uint64_t digest_{};
    base::instant received_at_;
    base::instant deadline_;
    base::instant attempt_started_at_{};
    boost::asio::steady_timer timer_;
    responder respond_;
    // That of the attempt in flight. It owns this request through its handler,
    // and its pending reads and writes own it: owned from here as well, both
    // would outlive the event loop.
    std::weak_ptr<upstream_connection> connection_;
    fleet_view::worker_ptr worker_;
    // Incarnation that the newest attempt was sent to.
    std::uint64_t worker_incarnation_{};
    std::vector<std::string> tried_workers_;
    // Region of the newest attempt's worker.
    std::string worker_region_;
    std::uint32_t sends_{0};
    std::uint32_t connect_failures_{0};
    execution_state execution_{execution_state::not_run};
    // Set when the request was refused.
    std::optional<base::error> refusal_reason_{};
    // Unsuccessful answer of a worker, passed on if no retry succeeds.
    std::optional<net::http_response> last_answer_;
    base::byte_hold last_answer_bytes_;
    // Set aside for the answer of the next attempt.
    base::byte_hold set_aside_;
    // Memory of the newest answer.
    base::byte_hold answer_bytes_;
    bool caller_gone_{false};
    bool done_{false};
};

} // namespace waxwingvalve::front
