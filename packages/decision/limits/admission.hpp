// Admission of one daemon: on which of its own workers a request may run now.
//
// The slots of a worker are counted by its owner alone. A cap of a zone is
// held without a shared counter: the record's cap is split over the zone's
// workers, and each owner holds each of its workers to its part. The parts
// are not lent between workers, so that a worker that changes its owner can
// take its part along at any moment.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "decision/limits/worker_limit.hpp"
#include "schema/records.hpp"

namespace waxwingvalve::decision::limits
{

struct worker_share
{
    base::endpoint address{};
    // The worker's slots, or its part of a cap when that is less.
    std::uint32_t slots{};
};

// The workers of one service that a daemon owns.
struct service_share
{
    std::string service{};
    // Longest time that a request of the service may run.
    base::duration longest_run{};
    std::vector<worker_share> workers{};
};

// Splits `cap` over workers by their slots. The parts add up to `cap`
// exactly, or to all slots when these are fewer; no part exceeds its slots.
std::vector<std::uint32_t> split_cap(
    std::uint32_t cap, std::span<const std::uint32_t> slots);

// Slots that a daemon owns of a service, and how many it would admit now.
struct room
{
    std::uint32_t slots{};
    std::uint32_t free{};
};

class admission
{
public:
    // Takes the workers owned from now on. Running requests stay counted;
    // a worker that was not owned before starts slowly.
    void adopt(std::span<const service_share> owned, base::instant now);

    // Takes a slot on the owned worker with the most room; nothing when the
    // service or the zone has none left. `release` gives it back.
    std::optional<base::endpoint> admit(
        std::string_view service, base::instant now);
    // The same, but on none of `except`.
    std::optional<base::endpoint> admit_except(
        std::string_view service,
        std::span<const base::endpoint> except,
        base::instant now);
    void release(const base::endpoint& worker);

    room room_of(std::string_view service, base::instant now) const;
    std::uint32_t in_use(const base::endpoint& worker) const;
    // Workers on which requests admitted here run, owned or no longer.
    std::set<base::endpoint> running_workers() const;
    // Most requests at once since the last call; for reports on their way.
    std::uint32_t take_highest(const base::endpoint& worker);
    // Null for a worker that is not owned.
    worker_limit* find_limit(const base::endpoint& worker);

private:
    struct counted_worker
    {
        std::string service{};
        worker_share share{};
        worker_limit limit;
        std::uint32_t in_use{0};
        std::uint32_t highest{0};
        // False when only requests from before still run here.
        bool owned{true};

        std::uint32_t free(base::instant now) const;
    };

    std::map<base::endpoint, counted_worker> workers_;
};

} // namespace waxwingvalve::decision::limits
