// Adapts the utilization up to which workers receive requests, by whether
// answers arrive in time (additive increase, multiplicative decrease; Chiu and
// Jain, 1989).
//
// A queue at a worker is harmless while its requests still finish within the
// route's target latency. A longer queue delays every answer without raising
// throughput. The right length depends on the cost of the requests, which is
// not known, and on the age of the daemons' load reports.
#pragma once

#include <algorithm>

#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

class utilization_limit
{
public:
    // Requests running and queued at a worker, as a multiple of its slots.
    static constexpr double min_utilization = 1.7;
    static constexpr double max_utilization = 3.5;

    // Records an answer that took `took`; one within `target` is in time.
    void record(base::duration took, base::duration target)
    {
        const double next =
            took > target ? value_ * decrease : value_ + increase;
        value_ = std::clamp(next, min_utilization, max_utilization);
    }

    double value() const { return value_; }

private:
    // With these values the limit falls once more than a fifth of the answers
    // are late.
    static constexpr double decrease = 0.98;
    static constexpr double increase = 0.005;

    double value_{max_utilization};
};

} // namespace waxwingvalve::decision::steering
