// Decides whether requests may spill over to workers that do not have their
// object in memory.
//
// Such a run takes several times as long as on a warm worker. This costs
// nothing while most workers have free slots. Once workers queue, a spilled
// request takes the time of several others, which then spill as well, and the
// fleet stays slow after the load has dropped (a metastable failure; Bronson et
// al., 2021).
#pragma once

#include "decision/steering/worker_table.hpp"

namespace waxwingvalve::decision::steering
{

class spillover_gate
{
public:
    // Mean utilization, as a multiple of the slots, from which on requests stay
    // on the workers that are warm for their object.
    static constexpr double closing_utilization = 1.0;

    void record(const load_report& load)
    {
        if (load.slots == 0)
        {
            return;
        }
        const double utilization =
            static_cast<double>(load.running + load.waiting) / load.slots;
        mean_ += weight * (utilization - mean_);
    }

    bool open() const { return mean_ < closing_utilization; }

private:
    // Weight of the newest report in the moving average, which covers about
    // fifty reports.
    static constexpr double weight = 0.02;

    double mean_{0};
};

} // namespace waxwingvalve::decision::steering
