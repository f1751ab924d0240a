#include "decision/steering/region_plan.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/steering/worker_choice.hpp"

namespace waxwingvalve::decision::steering
{
namespace
{

// Capacity and demand of a region, as fractions of the fleet's.
struct region_balance
{
    // Fraction of all requests that the region may keep.
    double limit{};
    double demand{};

    double spare() const { return std::max(0.0, limit - demand); }
    // Fraction of its own requests that the region can keep.
    double kept() const { return demand <= limit ? 1.0 : limit / demand; }
};

std::vector<region_balance> compute_balances(
    std::span<const region_supply> supplies, double headroom)
{
    double slots = 0;
    double demand = 0;
    for (const auto& supply : supplies)
    {
        slots += supply.slots;
        demand += supply.demand;
    }
    std::vector<region_balance> balances;
    balances.reserve(supplies.size());
    for (const auto& supply : supplies)
    {
        balances.push_back(
            {slots > 0 ? headroom * supply.slots / slots : 0.0,
             demand > 0 ? supply.demand / demand : 0.0});
    }
    return balances;
}

// Divides `amount` among the other regions in proportion to their spare
// capacity, or to their slots if none has any.
void distribute_to_others(
    std::vector<planned_share>& shares,
    double amount,
    std::span<const region_supply> supplies,
    std::span<const region_balance> balances,
    std::string_view own_region)
{
    double spare = 0;
    double slots = 0;
    for (std::size_t i = 0; i < supplies.size(); ++i)
    {
        const bool other = supplies[i].region != own_region;
        spare += other ? balances[i].spare() : 0.0;
        slots += other ? supplies[i].slots : 0.0;
    }
    for (std::size_t i = 0; i < supplies.size(); ++i)
    {
        if (supplies[i].region != own_region && slots > 0)
        {
            const double fraction = spare > 0 ? balances[i].spare() / spare
                                              : supplies[i].slots / slots;
            shares[i].share += amount * fraction;
        }
    }
}

// Raises the shares of regions with workers to `min_share` and normalizes all
// shares to a sum of 1.
void raise_and_normalize(
    std::vector<planned_share>& shares,
    std::span<const region_supply> supplies,
    double min_share)
{
    double sum = 0;
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        const double lower_bound = supplies[i].slots > 0 ? min_share : 0.0;
        shares[i].share = std::max(shares[i].share, lower_bound);
        sum += shares[i].share;
    }
    for (auto& planned : shares)
    {
        planned.share /= sum;
    }
}

// Returns the fraction of requests that would move to another region between
// the two divisions.
double moved_fraction(
    std::span<const planned_share> a, std::span<const planned_share> b)
{
    double sum = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        sum += std::abs(a[i].share - b[i].share);
    }
    return sum / 2;
}

} // namespace

std::vector<planned_share> divide_demand(
    std::span<const region_supply> supplies,
    std::string_view own_region,
    const region_plan_policy& policy)
{
    const bool no_slots = std::ranges::all_of(
        supplies,
        [](const region_supply& supply) { return supply.slots <= 0; });
    if (no_slots)
    {
        return {};
    }
    const auto balances = compute_balances(supplies, policy.headroom);
    std::vector<planned_share> shares;
    double kept = 0;
    for (std::size_t i = 0; i < supplies.size(); ++i)
    {
        const bool own = supplies[i].region == own_region;
        kept = own ? balances[i].kept() : kept;
        shares.push_back({supplies[i].region, own ? kept : 0.0});
    }
    distribute_to_others(shares, 1.0 - kept, supplies, balances, own_region);
    raise_and_normalize(shares, supplies, policy.min_share);
    return shares;
}

bool region_plan::capacity_changed(
    std::span<const region_supply> supplies) const
{
    for (std::size_t i = 0; i < supplies.size(); ++i)
    {
        const bool same_region =
            i < replaced_supplies_.size() &&
            replaced_supplies_[i].region == supplies[i].region;
        if (!same_region)
        {
            return true;
        }
        const double old_slots = replaced_supplies_[i].slots;
        const double change = std::abs(supplies[i].slots - old_slots);
        if (change > policy_.capacity_change_threshold * old_slots)
        {
            return true;
        }
    }
    return replaced_supplies_.size() != supplies.size();
}

void region_plan::update(
    std::span<const region_supply> supplies,
    std::string_view own_region,
    base::instant now)
{
    auto target = divide_demand(supplies, own_region, policy_);
    const std::chrono::duration<double> elapsed{now - updated_at_};
    updated_at_ = now;
    if (shares_.size() != target.size() || capacity_changed(supplies))
    {
        // The first division does not count as a replacement.
        replaced_at_ = shares_.empty() ? replaced_at_ : now;
        shares_ = std::move(target);
        replaced_supplies_.assign(supplies.begin(), supplies.end());
        return;
    }
    const double distance = moved_fraction(shares_, target);
    const double max_distance = policy_.max_change_per_s * elapsed.count();
    const double fraction =
        distance <= max_distance ? 1.0 : max_distance / distance;
    for (std::size_t i = 0; i < shares_.size(); ++i)
    {
        shares_[i].share += fraction * (target[i].share - shares_[i].share);
    }
}

std::vector<std::string_view> region_plan::region_order(
    std::string_view object) const
{
    std::vector<std::pair<double, std::string_view>> scored;
    for (const auto& planned : shares_)
    {
        if (planned.share > 0)
        {
            const double rank = hash_rank(object, planned.region);
            scored.emplace_back(
                -std::log1p(-rank) / planned.share, planned.region);
        }
    }
    std::ranges::sort(scored);
    std::vector<std::string_view> order;
    order.reserve(scored.size());
    for (const auto& [score, region] : scored)
    {
        order.push_back(region);
    }
    return order;
}

} // namespace waxwingvalve::decision::steering
