// How the requests of one region's callers are divided among the regions
// whose workers can run them.
//
// A region keeps its own requests as far as its workers carry them; the rest
// goes to where workers are left over. Demand is told by the daemons'
// heartbeats, capacity by discovery, so every daemon of a region computes
// nearly the same division without asking anyone. With demand it changes
// slowly, so that the shares of regions do not jump; workers that are gone
// cannot be waited for, so with capacity it changes at once.
//
// The division does not look at zones: callers of all zones of a region ask
// for the same objects, and an object that has one worker in the region is in
// memory there for all of them.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

struct region_supply
{
    std::string region{};
    // Slots of the workers that may be used; 0 for a region without any.
    double slots{};
    // Requests a second of the region's callers.
    double demand{};
};

struct planned_share
{
    std::string region{};
    // Part of the requests of the own region's callers, in [0, 1].
    double share{};
};

struct region_plan_policy
{
    // A region keeps requests of its own up to this multiple of its part of
    // all slots. Above 1, because a longer way costs time and bytes.
    double headroom{1.25};
    // Most of the requests that may change their region in a second.
    double change_per_s{0.04};
    // Part of a region's slots that must come or go for the division to change
    // at once.
    double capacity_change{0.1};
    // Share of a region that the division gives nothing to. It is the way out
    // when all others are gone.
    double least_share{0.002};
};

// The division that fits demand and capacity; the shares sum up to 1. Empty
// when no region has slots.
std::vector<planned_share> divide_demand(
    std::span<const region_supply> supplies,
    std::string_view own_region,
    const region_plan_policy& policy);

// Invariant: the shares sum up to 1 unless there are none.
class region_plan
{
public:
    explicit region_plan(region_plan_policy policy = {}) : policy_{policy} {}

    // Moves towards the division that fits; the first call adopts it whole.
    void follow(
        std::span<const region_supply> supplies,
        std::string_view own_region,
        base::instant now);

    const std::vector<planned_share>& shares() const { return shares_; }
    // When the division last changed at once; never by the first one.
    base::instant adopted_at() const { return adopted_at_; }

    // The regions in the order in which an object's requests try them. An
    // object keeps its order as long as the shares do; a change of the shares
    // moves few objects (weighted rendezvous hashing). Valid as long as the
    // plan does not follow a change.
    std::vector<std::string_view> order(std::string_view object) const;

private:
    bool capacity_changed(std::span<const region_supply> supplies) const;

    region_plan_policy policy_;
    std::vector<planned_share> shares_;
    // Supplies at the time when the division last changed at once.
    std::vector<region_supply> adopted_;
    base::instant adopted_at_{};
    base::instant changed_at_{};
};

} // namespace waxwingvalve::decision::steering
