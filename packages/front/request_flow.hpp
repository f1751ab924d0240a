// One request from its last byte to its answer: the choice of a worker, the
// sends, what may be repeated, and the answer when nothing may be.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/time.hpp"
#include "decision/steering/configuration.hpp"
#include "front/figures.hpp"
#include "front/fleet_view.hpp"
#include "front/upstream_connection.hpp"
#include "front/upstream_pool.hpp"
#include "front/wire_fields.hpp"
#include "net/answers.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::front
{

// What all requests of a daemon share.
struct serving_context
{
    boost::asio::io_context& loop;
    wire_fields fields;
    fleet_view& view;
    upstream_pool& pool;
    figures& counts;
};

class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    using responder = std::function<void(net::http_response)>;

    request_flow(serving_context& context, net::http_request request);
    ~request_flow();
    request_flow(const request_flow&) = delete;
    request_flow& operator=(const request_flow&) = delete;

    // False when the request has no route or no configuration is known: it
    // is then answered without being sent, and may start at any time.
    bool repeatable() const;

    // `respond` is called once, unless the flow is abandoned before.
    void start(responder respond);

    // The caller left. Work that may be repeated is cancelled; other work
    // runs to its end, so that its connection shows whether it did.
    void abandon();

private:
    enum class sent_state : std::uint8_t
    {
        // No worker can have run the request.
        not_run,
        // A worker may have run it, and its answer is lost.
        unknown,
    };

    bool admit();
    void begin_attempt();
    void send_to(const fleet_view::worker_ptr& worker);
    std::string build_bytes(const steering::worker& worker) const;
    void attempt_ended(
        const fleet_view::worker_ptr& worker, exchange_outcome outcome);
    void take_answer(
        const fleet_view::worker_ptr& worker, exchange_outcome outcome);
    void take_failure(
        const fleet_view::worker_ptr& worker, const exchange_outcome& outcome);
    void note_load(steering::worker& worker, const net::http_response& answer);
    // Tries another worker or ends with `reason`.
    void retry_or_refuse(const base::error& reason, bool costs_budget);
    void check_for_crash(const fleet_view::worker_ptr& worker);
    void time_out();
    void refuse(const base::error& reason);
    void finish(net::http_response answer, std::string_view end);
    void release_worker();
    base::duration left() const;
    void log_end(std::string_view end, unsigned status) const;

    serving_context& context_;
    net::http_request request_;
    std::string attempt_id_;
    std::string object_;
    std::string service_;
    // A copy: the request may outlive the configuration.
    std::optional<steering::route> route_;
    std::uint64_t config_version_{};
    std::uint64_t digest_{};
    base::instant received_at_;
    base::instant deadline_;
    base::instant attempt_began_{};
    boost::asio::steady_timer timer_;
    responder respond_;
    std::shared_ptr<upstream_connection> connection_;
    fleet_view::worker_ptr worker_;
    std::vector<std::string> tried_;
    std::uint32_t sends_{0};
    std::uint32_t connect_failures_{0};
    sent_state sent_{sent_state::not_run};
    // Why the request was refused.
    std::optional<base::error> reason_{};
    // An answer of a worker that is passed on if nothing better comes.
    std::optional<net::http_response> last_answer_;
    bool caller_gone_{false};
    bool done_{false};
};

} // namespace waxwingvalve::front
