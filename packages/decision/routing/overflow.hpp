// Selects the daemon that a request is forwarded to when this daemon's workers
// have no free slots.
//
// Other daemons of the same zone come before other zones. Within a group, two
// candidates are drawn at random, weighted by free slots, and the better one is
// chosen. This keeps daemons with the same outdated view from all sending to
// the zone with the most free slots. The view may be wrong: the chosen daemon
// admits or refuses the request by its own count.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <utility>
#include <vector>

#include "base/time.hpp"

namespace waxwingvalve::decision::routing
{

enum class distance : std::uint8_t
{
    same_zone,
    same_region,
    other_region,
};

// A daemon that a request could be forwarded to.
struct overflow_candidate
{
    // Index in the caller's list.
    std::size_t index{};
    routing::distance distance{};
    // Free slots in its last report, less requests forwarded to it since.
    std::uint32_t free{};
    // Age of that report.
    base::duration age{};
    // One-way network delay to the daemon.
    base::duration delay{};
};

// Weight in the random draw: the free slots, discounted by the report's age.
double selection_weight(const overflow_candidate& candidate);
// Score that decides between two drawn candidates: the weight, discounted by
// network delay.
double preference_score(const overflow_candidate& candidate);

namespace detail
{

template <class Random>
const overflow_candidate& pick_weighted(
    std::span<const overflow_candidate> candidates, Random& random)
{
    std::vector<double> weights;
    for (const auto& candidate : candidates)
    {
        weights.push_back(selection_weight(candidate));
    }
    std::discrete_distribution<std::size_t> distribution{
        weights.begin(), weights.end()};
    return candidates[distribution(random)];
}

} // namespace detail

// Returns the candidates with free slots in the same zone or, if there are
// none, those in all other zones.
std::vector<overflow_candidate> nearest_with_free_slots(
    std::span<const overflow_candidate> candidates);

// Returns the index of the chosen candidate, or nullopt if none has free
// slots. Random is a uniform random bit generator.
template <class Random>
std::optional<std::size_t> choose_overflow(
    std::span<const overflow_candidate> candidates, Random& random)
{
    const auto available = nearest_with_free_slots(candidates);
    if (available.empty())
    {
        return std::nullopt;
    }
    const auto& first = detail::pick_weighted(std::span{available}, random);
    const auto& second = detail::pick_weighted(std::span{available}, random);
    return preference_score(second) > preference_score(first) ? second.index
                                                              : first.index;
}

} // namespace waxwingvalve::decision::routing
