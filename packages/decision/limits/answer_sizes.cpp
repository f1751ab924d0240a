#include "decision/limits/answer_sizes.hpp"

#include <algorithm>

namespace waxwingvalve::decision::limits
{

answer_sizes::recent answer_sizes::advanced(
    const recent& from, base::instant now)
{
    const auto age = now - from.begin;
    if (age < window)
    {
        return from;
    }
    return {
        .begin = now, .largest_before = age < 2 * window ? from.largest : 0};
}

void answer_sizes::record(
    const std::string& route, std::uint64_t bytes, base::instant now)
{
    if (routes_.size() >= many_routes && !routes_.contains(route))
    {
        forget_old(now);
    }
    auto& known = routes_[route];
    known = advanced(known, now);
    known.largest = std::max(known.largest, bytes);
}

void answer_sizes::forget_old(base::instant now)
{
    std::erase_if(
        routes_,
        [now](const auto& entry)
        { return now - entry.second.begin >= 2 * window; });
}

std::uint64_t answer_sizes::largest(
    const std::string& route, base::instant now) const
{
    const auto known = routes_.find(route);
    if (known == routes_.end())
    {
        return 0;
    }
    const auto current = advanced(known->second, now);
    return std::max(current.largest, current.largest_before);
}

} // namespace waxwingvalve::decision::limits
