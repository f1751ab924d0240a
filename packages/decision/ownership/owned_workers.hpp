// The set of upstream workers that this daemon owns, as zone_ownership hands
// it to the serving thread.
#pragma once

#include <cstdint>
#include <set>

#include "base/endpoint.hpp"
#include "base/time.hpp"

namespace waxwingvalve::decision::ownership
{

// Snapshot of the owned workers. While it is valid, no other daemon of the
// zone dispatches to a worker in `addresses`.
struct owned_workers
{
    std::set<base::endpoint> addresses{};
    // False while this daemon owns no worker, as after a pause of the process
    // until it has claimed its workers from the zone again.
    bool may_dispatch{true};
    // Expiry of this snapshot: dispatching stops then unless a newer snapshot
    // has arrived. It has passed when the process resumes after a long pause.
    base::instant dispatch_until{base::instant::max()};
    // Increases with each change of `addresses`. The serving thread reports
    // the version that it dispatches by.
    std::uint64_t version{};
};

} // namespace waxwingvalve::decision::ownership
