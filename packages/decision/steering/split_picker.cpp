#include "decision/steering/split_picker.hpp"

#include <algorithm>

namespace waxwingvalve::decision::steering
{
namespace
{

// Steps that a random place in a round is drawn from.
constexpr std::int64_t max_first_steps = 1'000;

} // namespace

const std::string& split_picker::next(const route& route)
{
    if (route.parts.size() == 1)
    {
        return route.parts.front().service;
    }
    auto& current = rounds_[route.name];
    if (current.parts != route.parts)
    {
        current = begin_round(route);
    }
    return route.parts[advance(current)].service;
}

split_picker::round split_picker::begin_round(const route& route)
{
    round result{route.parts, std::vector<std::int64_t>(route.parts.size(), 0)};
    std::int64_t total = 0;
    for (const auto& part : route.parts)
    {
        total += part.weight;
    }
    const auto last_step =
        std::clamp<std::int64_t>(total, 1, max_first_steps) - 1;
    auto steps =
        std::uniform_int_distribution{std::int64_t{0}, last_step}(random_);
    for (; steps > 0; --steps)
    {
        advance(result);
    }
    return result;
}

// Returns the index of the part whose turn it is.
std::size_t split_picker::advance(round& current)
{
    std::int64_t total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < current.parts.size(); ++i)
    {
        current.credits[i] += current.parts[i].weight;
        total += current.parts[i].weight;
        if (current.credits[i] > current.credits[best])
        {
            best = i;
        }
    }
    current.credits[best] -= total;
    return best;
}

} // namespace waxwingvalve::decision::steering
