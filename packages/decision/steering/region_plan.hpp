// Divides the requests of one region's callers among the regions whose workers
// can run them.
//
// A region keeps its own requests up to the capacity of its workers; the rest
// goes to regions with spare capacity. Demand comes from the daemons'
// heartbeats and capacity from discovery, so all daemons of a region compute
// nearly the same division without coordination. The division follows demand
// slowly, so that shares do not jump, but follows capacity at once, because
// lost workers cannot run requests in the meantime.
//
// Zones are ignored: callers of all zones of a region request the same objects,
// and a worker that has an object in memory serves all of them.
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
    // Slots of the usable workers; 0 if there are none.
    double slots{};
    // Requests per second of the region's callers.
    double demand{};
};

struct planned_share
{
    std::string region{};
    // Fraction of the requests of the own region's callers, in [0, 1].
    double share{};
};

struct region_plan_policy
{
    // A region keeps its own requests up to this multiple of its fraction of
    // all slots. Above 1, because running a request in another region costs
    // latency and traffic.
    double headroom{1.25};
    // Largest fraction of requests that may move to another region per second.
    double max_change_per_s{0.04};
    // Relative change of a region's slots from which on the division is
    // replaced at once.
    double capacity_change_threshold{0.1};
    // Share of a region with workers that would otherwise get none. Keeps it
    // available as a fallback when all other regions fail.
    double min_share{0.002};
};

// Computes the division for the given demand and capacity. The shares sum up to
// 1; empty if no region has slots.
std::vector<planned_share> divide_demand(
    std::span<const region_supply> supplies,
    std::string_view own_region,
    const region_plan_policy& policy);

// Invariant: the shares sum up to 1 unless there are none.
class region_plan
{
public:
    explicit region_plan(region_plan_policy policy = {}) : policy_{policy} {}

    // Moves the shares towards the computed division. The first call, and a
    // change of capacity above the threshold, replace them at once.
    void update(
        std::span<const region_supply> supplies,
        std::string_view own_region,
        base::instant now);

    const std::vector<planned_share>& shares() const { return shares_; }
    // Time when the division was last replaced at once, not counting the first.
    base::instant replaced_at() const { return replaced_at_; }

    // Returns the regions in the order in which an object's requests try them
    // (weighted rendezvous hashing): the order is stable while the shares are,
    // and a change of the shares moves few objects. Valid until the next call
    // of update() that changes the plan.
    std::vector<std::string_view> region_order(std::string_view object) const;

private:
    bool capacity_changed(std::span<const region_supply> supplies) const;

    region_plan_policy policy_;
    std::vector<planned_share> shares_;
    // Supplies when the division was last replaced at once.
    std::vector<region_supply> replaced_supplies_;
    base::instant replaced_at_{};
    base::instant updated_at_{};
};

} // namespace waxwingvalve::decision::steering
