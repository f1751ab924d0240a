// Whether requests may spill to workers that do not know their object.
//
// Such a run takes several times as long as one at a worker that knows it.
// While most workers have slots free that costs nothing; once they queue, a
// spilled request takes the time of several others, which then spill as well,
// and the fleet stays slow after the load is gone (a metastable failure;
// Bronson et al., 2021).
#pragma once

#include "decision/steering/worker_table.hpp"

namespace waxwingvalve::decision::steering
{

class spill_gate
{
public:
    // Mean load of the workers that answer, in parts of their slots, from
    // which on requests stay where their object is known.
    static constexpr double closed_from = 1.0;

    void note(const load_report& load)
    {
        if (load.slots == 0)
        {
            return;
        }
        const double fullness =
            static_cast<double>(load.running + load.waiting) / load.slots;
        mean_ += weight * (fullness - mean_);
    }

    bool open() const { return mean_ < closed_from; }

private:
    // Weight of the newest report: the mean covers about fifty of them.
    static constexpr double weight = 0.02;

    double mean_{0};
};

} // namespace waxwingvalve::decision::steering
