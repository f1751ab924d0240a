#include "decision/steering/cold_worker_limiter.hpp"

#include <utility>

namespace waxwingvalve::decision::steering
{

bool cold_worker_limiter::try_acquire(
    const cold_worker_rate& worker, const sender_view& fleet, base::instant now)
{
    if (worker.requests_per_s <= 0)
    {
        return false;
    }
    auto& known = workers_[worker.incarnation];
    known.asked_at = now;
    const bool begins =
        std::exchange(known.cold_since, worker.cold_since) != worker.cold_since;
    if (begins)
    {
        pacer_.remove(worker.incarnation);
        known.shared_at = {};
    }
    if (now - known.shared_at >= share_lifetime)
    {
        known.shared_at = now;
        const double share = rate_limit_pacer::share_of(
            worker.worker_id,
            worker.worker_region,
            worker.requests_per_s,
            fleet);
        pacer_.set_rate(
            worker.incarnation,
            share * worker.requests_per_s,
            worker.was_loaded,
            begins ? worker.cold_since : now);
    }
    return pacer_.try_acquire(worker.incarnation, now);
}

void cold_worker_limiter::remove_idle(base::instant before)
{
    std::erase_if(
        workers_,
        [&](const auto& item)
        {
            const bool idle = item.second.asked_at < before;
            if (idle)
            {
                pacer_.remove(item.first);
            }
            return idle;
        });
}

} // namespace waxwingvalve::decision::steering
