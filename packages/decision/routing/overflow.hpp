// To which other daemon a request goes when the own workers have no room.
//
// The zone's other daemons come before other zones. Among equals the choice
// is the better of two drawn at random by room, so that many daemons with
// the same old view do not all run to the zone that looked emptiest. The
// choice is a guess: the chosen daemon admits or refuses by its own count.
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

struct overflow_candidate
{
    // Index in the caller's own list.
    std::size_t index{};
    routing::distance distance{};
    // Free slots by its last report, less what was passed to it since.
    std::uint32_t free{};
    // Age of that report.
    base::duration age{};
    // One-way delay to it.
    base::duration delay{};
};

// How much the figure is worth as a share of a draw; 0 without room.
double draw_weight(const overflow_candidate& one);
// How good it is when compared with another that was drawn.
double preference(const overflow_candidate& one);

namespace detail
{

template <class Random>
const overflow_candidate& draw(
    std::span<const overflow_candidate> from, Random& random)
{
    std::vector<double> weights;
    for (const auto& one : from)
    {
        weights.push_back(draw_weight(one));
    }
    std::discrete_distribution<std::size_t> pick{
        weights.begin(), weights.end()};
    return from[pick(random)];
}

} // namespace detail

// The candidates of the nearest group that has room: the own zone, else all
// other zones.
std::vector<overflow_candidate> nearest_with_room(
    std::span<const overflow_candidate> all);

// Nothing when no candidate has room. Random is a uniform random bit
// generator.
template <class Random>
std::optional<std::size_t> choose_overflow(
    std::span<const overflow_candidate> all, Random& random)
{
    const auto open = nearest_with_room(all);
    if (open.empty())
    {
        return std::nullopt;
    }
    const auto& first = detail::draw(std::span{open}, random);
    const auto& second = detail::draw(std::span{open}, random);
    return preference(second) > preference(first) ? second.index : first.index;
}

} // namespace waxwingvalve::decision::routing
