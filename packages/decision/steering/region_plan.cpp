#include "decision/steering/region_plan.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/steering/worker_choice.hpp"

namespace waxwingvalve::decision::steering
{
namespace
{

// What one region carries and wants, in parts of the whole fleet's.
struct region_balance
{
    // Part of all requests that it may keep for itself.
    double limit{};
    double demand{};

    double spare() const { return std::max(0.0, limit - demand); }
    // The part of its own requests that it can keep.
    double kept() const { return demand <= limit ? 1.0 : limit / demand; }
};

std::vector<region_balance> balances_of(
    std::span<const region_supply> supplies, double headroom)
{
    double slots = 0;
    double demand = 0;
    for (const auto& one : supplies)
    {
        slots += one.slots;
        demand += one.demand;
    }
    std::vector<region_balance> out;
    out.reserve(supplies.size());
    for (const auto& one : supplies)
    {
        out.push_back(
            {slots > 0 ? headroom * one.slots / slots : 0.0,
             demand > 0 ? one.demand / demand : 0.0});
    }
    return out;
}

// Divides `amount` among the other regions, by what they can spare, or by
// their slots when none of them can.
void spread(
    std::vector<planned_share>& out,
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
            const double part = spare > 0 ? balances[i].spare() / spare
                                          : supplies[i].slots / slots;
            out[i].share += amount * part;
        }
    }
}

// Raises what is too small for a region with workers, and lets the shares sum
// up to 1.
void complete(
    std::vector<planned_share>& shares,
    std::span<const region_supply> supplies,
    double min_share)
{
    double sum = 0;
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        const double least = supplies[i].slots > 0 ? min_share : 0.0;
        shares[i].share = std::max(shares[i].share, least);
        sum += shares[i].share;
    }
    for (auto& one : shares)
    {
        one.share /= sum;
    }
}

// Part of the requests that one division sends elsewhere than the other.
double difference(
    std::span<const planned_share> one, std::span<const planned_share> other)
{
    double sum = 0;
    for (std::size_t i = 0; i < one.size(); ++i)
    {
        sum += std::abs(one[i].share - other[i].share);
    }
    return sum / 2;
}

} // namespace

std::vector<planned_share> divide_demand(
    std::span<const region_supply> supplies,
    std::string_view own_region,
    const region_plan_policy& policy)
{
    const bool none = std::ranges::all_of(
        supplies, [](const region_supply& one) { return one.slots <= 0; });
    if (none)
    {
        return {};
    }
    const auto balances = balances_of(supplies, policy.headroom);
    std::vector<planned_share> out;
    double kept = 0;
    for (std::size_t i = 0; i < supplies.size(); ++i)
    {
        const bool own = supplies[i].region == own_region;
        kept = own ? balances[i].kept() : kept;
        out.push_back({supplies[i].region, own ? kept : 0.0});
    }
    spread(out, 1.0 - kept, supplies, balances, own_region);
    complete(out, supplies, policy.min_share);
    return out;
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
        const double before = replaced_supplies_[i].slots;
        const double change = std::abs(supplies[i].slots - before);
        if (change > policy_.capacity_change_threshold * before)
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
    const std::chrono::duration<double> passed{now - updated_at_};
    updated_at_ = now;
    if (shares_.size() != target.size() || capacity_changed(supplies))
    {
        // The first division is no change.
        replaced_at_ = shares_.empty() ? replaced_at_ : now;
        shares_ = std::move(target);
        replaced_supplies_.assign(supplies.begin(), supplies.end());
        return;
    }
    const double far = difference(shares_, target);
    const double step = policy_.max_change_per_s * passed.count();
    const double part = far <= step ? 1.0 : step / far;
    for (std::size_t i = 0; i < shares_.size(); ++i)
    {
        shares_[i].share += part * (target[i].share - shares_[i].share);
    }
}

std::vector<std::string_view> region_plan::region_order(
    std::string_view object) const
{
    std::vector<std::pair<double, std::string_view>> scored;
    for (const auto& one : shares_)
    {
        if (one.share > 0)
        {
            const double place = hash_rank(object, one.region);
            scored.emplace_back(-std::log1p(-place) / one.share, one.region);
        }
    }
    std::ranges::sort(scored);
    std::vector<std::string_view> out;
    out.reserve(scored.size());
    for (const auto& [score, region] : scored)
    {
        out.push_back(region);
    }
    return out;
}

} // namespace waxwingvalve::decision::steering
