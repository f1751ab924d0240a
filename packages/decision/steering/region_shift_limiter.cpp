#include "decision/steering/region_shift_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwingvalve::decision::steering
{
namespace
{

// Weight of the seeded shares in requests: enough that the first real requests
// do not move them quickly.
constexpr double seed_requests = 40;

} // namespace

void region_shift_limiter::decay(base::instant now)
{
    if (decayed_at_ == base::instant{})
    {
        decayed_at_ = now;
    }
    const std::chrono::duration<double> elapsed{now - decayed_at_};
    decayed_at_ = now;
    const double factor = std::exp(-(elapsed / decay_time));
    requests_ *= factor;
    for (auto& [region, recent] : regions_)
    {
        recent.requests *= factor;
    }
}

void region_shift_limiter::lose_unused_credit(base::instant now)
{
    const std::chrono::duration<double> gap{now - decided_at_};
    decided_at_ = now;
    const double missed = requests_ * (gap / decay_time) - 1.0;
    if (missed <= 0)
    {
        return;
    }
    const double kept = std::pow(1.0 - unused_credit_loss, missed);
    for (auto& [region, recent] : regions_)
    {
        recent.credit *= recent.credit > 0 ? kept : 1.0;
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
    for (const auto& planned : shares)
    {
        regions_[planned.region] = {.requests = planned.share * seed_requests};
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
    lose_unused_credit(now);
    const auto& recent = regions_[region];
    const double own_credit = credit_with_next(recent, step);
    const double own_rank = fallback_rank(recent, step);
    // One region is always allowed, so that every request finds a region.
    return own_credit >= 1.0 || allowed_share(recent, step) >= 1.0 ||
           std::ranges::all_of(
               regions_,
               [&](const auto& other)
               { return fallback_rank(other.second, step) <= own_rank; });
}

// Saved credit doesn't count: a region that had no room for a while has the
// most, and would get the first request of each daemon when it has room again.
double region_shift_limiter::fallback_rank(
    const region_count& one, double step) const
{
    return std::min(one.credit, 0.0) + allowed_share(one, step);
}

void region_shift_limiter::forget()
{
    if (requests_ <= min_requests)
    {
        return;
    }
    const double kept = std::max(min_requests / requests_, kept_history);
    requests_ *= kept;
    for (auto& [region, recent] : regions_)
    {
        recent.requests *= kept;
    }
}

void region_shift_limiter::follow(const std::string& region, base::instant now)
{
    decay(now);
    decided_at_ = now;
    if (now - std::exchange(followed_at_, now) > follow_gap)
    {
        forget();
    }
    requests_ += 1;
    regions_[region].requests += 1;
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
    for (auto& [name, recent] : regions_)
    {
        recent.credit +=
            allowed_share(recent, step) - (name == region ? 1.0 : 0.0);
        recent.credit = std::clamp(recent.credit, -max_credit, max_credit);
    }
}

} // namespace waxwingvalve::decision::steering
