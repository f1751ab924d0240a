// Gossips worker crashes to all daemons; each event is counted once.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <set>
#include <vector>

#include "schema/fleet.hpp"

namespace waxwingvalve::decision::steering
{

using schema::crash_event;

class crash_gossip
{
public:
    // Rounds for which a daemon forwards an event. With a few receivers per
    // round, this reaches every daemon of a fleet of hundreds.
    static constexpr int gossip_rounds = 5;
    // Event ids kept for deduplication.
    static constexpr std::size_t max_seen_events = 4096;
    static constexpr std::size_t max_events_per_message = 32;

    explicit crash_gossip(std::uint64_t seed) : random_{seed} {}

    // Starts to gossip a crash that this daemon counted.
    void publish(std::uint64_t digest);

    // Returns true if the event is new; it is then forwarded as well.
    bool receive(const crash_event& event);

    // Returns the events to include in the messages of the next round.
    std::vector<crash_event> next_round();

private:
    struct pending_event
    {
        crash_event event{};
        int rounds_left{};
    };

    void remember(std::uint64_t id);

    std::mt19937_64 random_;
    std::vector<pending_event> pending_;
    std::set<std::uint64_t> seen_;
    std::deque<std::uint64_t> seen_order_;
};

} // namespace waxwingvalve::decision::steering
