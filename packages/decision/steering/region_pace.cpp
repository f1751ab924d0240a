#include "decision/steering/region_pace.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvalve::decision::steering
{
namespace
{

// Fewer requests of lately say nothing about shares.
constexpr double least_requests = 10;
// Requests that the expected shares count for: enough that the first real
// ones do not move them quickly.
constexpr double expected_requests = 40;

} // namespace

void region_pace::fade(base::instant now)
{
    if (faded_at_ == base::instant{})
    {
        faded_at_ = now;
    }
    const std::chrono::duration<double> passed{now - faded_at_};
    faded_at_ = now;
    const double kept = std::exp(-(passed / memory));
    requests_ *= kept;
    for (auto& [region, one] : regions_)
    {
        one.requests *= kept;
    }
}

void region_pace::expect(
    std::span<const planned_share> shares, base::instant now)
{
    fade(now);
    if (requests_ >= least_requests)
    {
        return;
    }
    requests_ = expected_requests;
    regions_.clear();
    for (const auto& one : shares)
    {
        regions_[one.region] = {.requests = one.share * expected_requests};
    }
}

double region_pace::allowed(const region_count& one, double step) const
{
    return std::min(1.0, one.requests / requests_ + used_part * step);
}

bool region_pace::allows(
    const std::string& region, double step, base::instant now)
{
    fade(now);
    if (requests_ < least_requests)
    {
        return true;
    }
    const auto& one = regions_[region];
    const double turn = turn_of(one, step);
    // Some region is always allowed: the one whose turn is next.
    return turn >= 1.0 || allowed(one, step) >= 1.0 ||
           std::ranges::all_of(
               regions_,
               [&](const auto& other)
               { return turn_of(other.second, step) <= turn; });
}

double region_pace::turn_of(const region_count& one, double step) const
{
    return one.credit + allowed(one, step);
}

void region_pace::count(
    const std::string& region, double step, base::instant now)
{
    fade(now);
    requests_ += 1;
    regions_[region].requests += 1;
    for (auto& [name, one] : regions_)
    {
        one.credit += allowed(one, step) - (name == region ? 1.0 : 0.0);
        one.credit = std::clamp(one.credit, -most_ahead, most_ahead);
    }
}

} // namespace waxwingvalve::decision::steering
