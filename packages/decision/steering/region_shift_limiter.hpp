// Limits how fast requests shift between the regions that run them, so that no
// region receives a sudden load.
//
// Each daemon applies the limit to its own requests: the share of a region may
// exceed its recent share by a margin only. The margin and the decay time are
// such that the share differs by less than `step` between two consecutive
// windows.
#pragma once

#include <map>
#include <span>
#include <string>

#include "base/time.hpp"
#include "decision/steering/region_plan.hpp"

namespace waxwingvalve::decision::steering
{

class region_shift_limiter
{
public:
    // Fraction of `step` by which the current share may exceed the recent one.
    // While the share rises, it grows within one window by this margin and by
    // the growth of the recent share in that window.
    static constexpr double margin_factor = 0.67;
    // Decay time of the recent share in seconds, long enough that the few
    // requests of one daemon do not look like a shift.
    static constexpr std::chrono::duration<double> decay_time{5.0};
    // Limit of the credit in requests, in both directions. Above 1, so that a
    // daemon with few requests is not held to fractions of a request.
    static constexpr double max_credit = 1.5;
    // Part of the credit that is lost for each request that would have come by
    // now at the recent rate. What many daemons have saved would move all of
    // their requests at once when few are left.
    static constexpr double unused_credit_loss = 0.1;
    // Part of the recent requests that still counts when the limit is lifted.
    static constexpr double kept_history = 0.1;
    // With fewer recent requests the shares are not meaningful.
    static constexpr double min_requests = 10;
    // Requests without a limit that are further apart belong to different
    // changes.
    static constexpr base::duration follow_gap{std::chrono::seconds{2}};

    // Sets the shares to start from, as planned by region_plan, while there are
    // too few recent requests.
    void seed_shares(std::span<const planned_share> shares, base::instant now);

    // Returns true if running a request in `region` keeps the change of its
    // share between consecutive windows below `step`.
    bool allows(const std::string& region, double step, base::instant now);

    // Records that a request ran in `region` and updates the credit of all
    // regions.
    void count(const std::string& region, double step, base::instant now);

    // Records a request for which there is no limit. Once there is one again,
    // it holds the shares to where they have moved, not to where they were.
    void follow(const std::string& region, base::instant now);

private:
    struct region_count
    {
        // Recent requests, exponentially decayed.
        double requests{};
        // Requests by which the region is below its allowed share.
        double credit{};
    };

    void decay(base::instant now);
    // Takes the credit that was saved for requests that have not come.
    void lose_unused_credit(base::instant now);
    // Keeps no more of the recent requests than are needed.
    void forget();
    // Returns the share that the region may have now.
    double allowed_share(const region_count& one, double step) const;
    // Returns the credit including the next request's share; from 1 on the
    // region may take the request.
    double credit_with_next(const region_count& one, double step) const;
    // The region with the highest one is allowed if no other is.
    double fallback_rank(const region_count& one, double step) const;

    std::map<std::string, region_count> regions_;
    // Recent requests in all regions, exponentially decayed.
    double requests_{0};
    base::instant decayed_at_{};
    // Time of the last request that was decided.
    base::instant decided_at_{};
    // Time of the last request without a limit.
    base::instant followed_at_{};
};

} // namespace waxwingvalve::decision::steering
