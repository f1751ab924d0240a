// How fast the requests of a region may change the regions in which they
// run, so that no region meets a load that it did not see coming.
//
// Each daemon holds the bound for its own requests: the share of a region may
// exceed the share that it had lately by a margin only, and the margin and
// the memory are chosen so that the share of two windows that follow each
// other differs by less than the step.
#pragma once

#include <map>
#include <span>
#include <string>

#include "base/time.hpp"
#include "decision/steering/region_plan.hpp"

namespace waxwingvalve::decision::steering
{

class region_pace
{
public:
    // Part of the step by which the share of now may exceed that of lately.
    // While the share rises, that of a window exceeds the one before by this
    // and by what the memory takes up in a window.
    static constexpr double used_part = 0.67;
    // Memory of the share of lately: long enough that the few requests of one
    // daemon do not look like a change.
    static constexpr std::chrono::duration<double> memory{5.0};
    // Requests that may be ahead of the share, so that few requests are not
    // held to fractions of one.
    static constexpr double most_ahead = 1.5;

    // Shares to start from while there were few requests of lately: those
    // that the division of the region's requests plans.
    void expect(std::span<const planned_share> shares, base::instant now);

    // True when a request may run in `region` without a faster change than
    // `step` from window to window.
    bool allows(const std::string& region, double step, base::instant now);

    // Counts a request for all regions: this one ran it.
    void count(const std::string& region, double step, base::instant now);

private:
    struct region_count
    {
        // Requests of lately, fading.
        double requests{};
        // Requests by which the region is short of its allowed share.
        double credit{};
    };

    void fade(base::instant now);
    // The share that the region may have now.
    double allowed(const region_count& one, double step) const;
    // A region may take a request from 1 on.
    double turn_of(const region_count& one, double step) const;

    std::map<std::string, region_count> regions_;
    // Requests of lately in all regions, fading.
    double requests_{0};
    base::instant faded_at_{};
};

} // namespace waxwingvalve::decision::steering
