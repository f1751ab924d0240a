// Asks workers for their health while discovery can't be read: a worker that
// becomes cold says so nowhere else.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "base/time.hpp"
#include "decision/steering/cold_news.hpp"
#include "front/peer_heartbeats.hpp"
#include "front/serving_context.hpp"
#include "front/upstream_pool.hpp"

namespace waxwingvalve::front
{

// Health checks of this daemon's part of the workers: of all while discovery
// can't be read, of those in doubt at any time. What they say of cold times is
// told to the other daemons at once.
class worker_health
{
public:
    // Time between two checks of one worker.
    static constexpr std::chrono::milliseconds check_interval{200};
    // A check waits for a slot, behind requests. After this time it is given
    // up.
    static constexpr std::chrono::milliseconds check_timeout{3'000};
    // A worker whose check waits for longer is assumed to be cold if others of
    // its zone have become so.
    static constexpr std::chrono::milliseconds answer_limit{60};
    // How long that is assumed; again while the check waits.
    static constexpr std::chrono::milliseconds assumed_cold_time{1'500};

    worker_health(serving_context& context, peer_heartbeats& heartbeats);

    void start();

private:
    // The checks of an interval are spread over this many steps.
    static constexpr std::uint32_t steps_per_interval = 10;
    static constexpr std::chrono::milliseconds step_interval{
        check_interval / steps_per_interval};
    // The workers to ask are chosen anew after this time, or sooner when others
    // come to be in doubt.
    static constexpr std::chrono::milliseconds choice_lifetime{1'000};
    static constexpr std::chrono::milliseconds min_choice_interval{60};

    // A worker that this daemon asks.
    struct asked_worker
    {
        fleet_view::worker_ptr worker{};
        // The check that waits for its answer, if any.
        std::shared_ptr<upstream_connection> connection{};
        std::uint64_t incarnation{};
        base::instant sent_at{};
        // When the newest check that was answered had been sent.
        base::instant answered{};
    };

    using asked_workers = std::map<std::string, asked_worker>;

    // Takes the next step soon: what comes meanwhile is told together.
    void wake();
    void schedule(std::chrono::milliseconds wait);
    // Returns the time until the next step.
    std::chrono::milliseconds step();
    std::vector<fleet_view::worker_ptr> workers_to_ask(
        std::vector<fleet_view::worker_ptr> doubted, base::instant now) const;
    void choose_workers(
        std::vector<fleet_view::worker_ptr> doubted, base::instant now);
    void keep_asking(
        const fleet_view::worker_ptr& worker, asked_workers& before);
    void check(asked_worker& asked, base::instant now);
    void send_check(
        asked_worker& asked, const std::string& health_path, base::instant now);
    void end_check(const std::string& id, const exchange_outcome& outcome);
    // Records what the worker says of itself, and what the others are told.
    void record_answer(
        const asked_worker& asked, std::span<const net::header_field> fields);
    void assume_cold(const asked_worker& asked, base::instant now);
    void abandon_check(asked_worker& asked);
    void stop_asking();

    serving_context& context_;
    peer_heartbeats& heartbeats_;
    // Apart from the connections for requests: an answer that comes late on
    // one of these answers no request.
    upstream_pool pool_;
    boost::asio::steady_timer timer_;
    std::uint32_t step_{0};
    // By their ids.
    asked_workers workers_;
    base::instant chosen_at_{};
    base::instant next_step_{};
};

} // namespace waxwingvalve::front
