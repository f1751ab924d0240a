// Runs several daemons' serving paths on one event loop: front servers that
// send to the same scripted workers, and heartbeats between them. Callers send
// requests for random objects at a steady rate.
#pragma once

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "front/front_fixture.hpp"
#include "front/peer_heartbeats.hpp"

namespace waxwingvalve::tests
{

// How the callers' requests ended.
struct caller_counts
{
    int sent{};
    // Requests whose connection has ended.
    int ended{};
    // With any status.
    int answered{};
    int succeeded{};
    // Refused with 503.
    int refused{};
    // Sum over the ended ones, from the sending to the end.
    base::duration time{};
};

// When the callers of the daemons send, in each interval.
enum class caller_phase : std::uint8_t
{
    // All at the same moment.
    together,
    // One after the other.
    spread,
};

// Until a daemon reads a new entry, at least and at most.
struct reading_delay
{
    std::chrono::milliseconds least{};
    std::chrono::milliseconds most{};
};

class fleet_fixture
{
public:
    explicit fleet_fixture(int daemon_count);
    ~fleet_fixture();
    fleet_fixture(const fleet_fixture&) = delete;
    fleet_fixture& operator=(const fleet_fixture&) = delete;

    // Adds a worker of the service "desk" that all daemons know.
    scripted_worker& add_worker(
        const std::string& id, scripted_worker::reply_function next_reply);

    // Each daemon reads the entry of a worker that has started again after a
    // random time.
    void spread_restart(
        const std::string& id,
        std::chrono::milliseconds cold_time_left,
        const reading_delay& delay);

    // From now on no daemon can read discovery.
    void lose_discovery();

    // All callers belong to this account from now on.
    void set_account(const decision::accounts::client_account& account);

    // Each daemon gets a request from a new caller every `interval`.
    void start_callers(
        std::chrono::milliseconds interval,
        caller_phase phase = caller_phase::together);
    // Sends no more requests and waits for the end of those on their way, for
    // up to `limit`.
    void finish_callers(std::chrono::milliseconds limit);

    void run_for(std::chrono::milliseconds time);

    const caller_counts& callers() const { return callers_; }
    // Texts of the latest refusals.
    const std::vector<std::string>& refusals() const { return refusals_; }

private:
    struct daemon;
    struct caller;

    void call(daemon& to);
    // Sends the caller's request and reads the answer.
    void exchange(const std::shared_ptr<caller>& from);
    // Calls after `wait`, and then each `interval`.
    void call_repeatedly(
        daemon& to,
        std::chrono::milliseconds wait,
        std::chrono::milliseconds interval);

    // Before the event loop, whose handlers hold parts of them until its end.
    std::vector<std::unique_ptr<front::body_memory>> memories_;
    boost::asio::io_context loop_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::vector<std::unique_ptr<scripted_worker>> workers_;
    std::mt19937_64 random_{1};
    caller_counts callers_{};
    std::vector<std::string> refusals_;
    // Fields of the callers' requests, each with its line end.
    std::string account_fields_;
};

} // namespace waxwingvalve::tests
