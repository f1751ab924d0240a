#include "decision/steering/region_shift_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingvalve::decision::steering
{
namespace
{

// Fewer requests of lately say nothing about shares.
constexpr double min_requests = 10;
// Requests that the expected shares count for: enough that the first real
// ones do not move them quickly.
constexpr double seed_requests = 40;

} // namespace

void region_shift_limiter::decay(base::instant now)
{
    if (decayed_at_ == base::instant{})
    {
        decayed_at_ = now;
    }
    const std::chrono::duration<double> passed{now - decayed_at_};
    decayed_at_ = now;
    const double kept = std::exp(-(passed / decay_time));
    requests_ *= kept;
    for (auto& [region, one] : regions_)
    {
        one.requests *= kept;
    }
}

void region_shift_limiter::seed_shares(
    std::span<const planned_share> shares, base::instant now)
{
    decay(now);
    if (requests_ >= min_requests)
    {
        return;
    }
    requests_ = seed_requests;
    regions_.clear();
    for (const auto& one : shares)
    {
        regions_[one.region] = {.requests = one.share * seed_requests};
    }
}

double region_shift_limiter::allowed_share(
    const region_count& one, double step) const
{
    return std::min(1.0, one.requests / requests_ + margin_factor * step);
}

bool region_shift_limiter::allows(
    const std::string& region, double step, base::instant now)
{
    decay(now);
    if (requests_ < min_requests)
    {
        return true;
    }
    const auto& one = regions_[region];
    const double turn = credit_with_next(one, step);
    // Some region is always allowed: the one whose turn is next.
    return turn >= 1.0 || allowed_share(one, step) >= 1.0 ||
           std::ranges::all_of(
               regions_,
               [&](const auto& other)
               { return credit_with_next(other.second, step) <= turn; });
}

double region_shift_limiter::credit_with_next(
    const region_count& one, double step) const
{
    return one.credit + allowed_share(one, step);
}

void region_shift_limiter::count(
    const std::string& region, double step, base::instant now)
{
    decay(now);
    requests_ += 1;
    regions_[region].requests += 1;
    for (auto& [name, one] : regions_)
    {
        one.credit += allowed_share(one, step) - (name == region ? 1.0 : 0.0);
        one.credit = std::clamp(one.credit, -max_credit, max_credit);
    }
}

} // namespace waxwingvalve::decision::steering
