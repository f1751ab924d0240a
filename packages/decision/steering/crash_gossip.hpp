// Gossips crashes of workers, and the answers that refute them, to all daemons;
// each event is delivered once.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "base/time.hpp"
#include "decision/steering/worker_crash.hpp"
#include "schema/fleet.hpp"

namespace waxwingvalve::decision::steering
{

// The events of one heartbeat.
struct crash_news
{
    std::vector<schema::crash_event> crashes{};
    std::vector<schema::answer_event> answers{};
};

// Clocks of daemons differ, so an event carries its age when it is sent.
class crash_gossip
{
public:
    // Rounds for which a daemon forwards an event. With a few receivers per
    // round, this reaches every daemon of a fleet of hundreds.
    static constexpr int gossip_rounds = 5;
    // Event ids kept for deduplication.
    static constexpr std::size_t max_seen_events = 4096;
    static constexpr std::size_t max_events_per_message = 32;
    // An event's times are taken to be late by at most this: the way of its
    // messages from daemon to daemon.
    static constexpr std::chrono::milliseconds max_message_delay{500};

    explicit crash_gossip(std::uint64_t seed) : random_{seed} {}

    std::uint64_t new_id() { return random_(); }

    // Starts to gossip an event that this daemon recorded.
    void publish(const worker_crash& crash);
    void publish(const suspect_answer& answer);

    // Returns the event if it is new; it is then forwarded as well.
    std::optional<worker_crash> receive(
        const schema::crash_event& event, base::instant now);
    std::optional<suspect_answer> receive(
        const schema::answer_event& event, base::instant now);

    // Returns the events to include in the messages of the next round.
    crash_news next_round(base::instant now);

private:
    template <typename Event>
    struct pending_event
    {
        Event event{};
        int rounds_left{};
    };

    // Returns false if the id was seen before.
    bool remember(std::uint64_t id);

    std::mt19937_64 random_;
    std::vector<pending_event<worker_crash>> crashes_;
    std::vector<pending_event<suspect_answer>> answers_;
    std::set<std::uint64_t> seen_;
    std::deque<std::uint64_t> seen_order_;
};

} // namespace waxwingvalve::decision::steering
