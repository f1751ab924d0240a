#include "decision/steering/health_askers.hpp"

#include <algorithm>
#include <tuple>

#include "decision/steering/worker_choice.hpp"

namespace waxwingvalve::decision::steering
{
namespace
{

// Sorts the daemons nearest to the worker first.
std::tuple<bool, bool, double> distance(
    const worker_place& worker, const fleet_member& daemon)
{
    return {
        daemon.region != worker.region,
        daemon.zone != worker.zone,
        hash_rank(worker.id, daemon.name)};
}

} // namespace

bool asks_for_health(
    const worker_place& worker,
    const fleet_member& self,
    std::span<const fleet_member> daemons)
{
    const auto in_region = [&](const fleet_member& one)
    { return one.region == worker.region; };
    // Without hashing, which costs most.
    if (!in_region(self) && std::ranges::any_of(daemons, in_region))
    {
        return false;
    }
    const auto own = distance(worker, self);
    const auto nearer = std::ranges::count_if(
        daemons,
        [&](const fleet_member& one)
        {
            return one.name != self.name && !one.leaving &&
                   (one.region == worker.region || !in_region(self)) &&
                   distance(worker, one) < own;
        });
    return static_cast<std::size_t>(nearer) < askers_per_worker;
}

std::vector<std::size_t> choose_asked_workers(
    std::span<const worker_place> workers,
    const fleet_member& self,
    std::span<const fleet_member> daemons,
    const fleet_size& largest)
{
    std::vector<std::size_t> asked;
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        if (asks_for_health(workers[i], self, daemons))
        {
            asked.push_back(i);
        }
    }
    const auto fleet = std::max<std::size_t>(largest.daemons, 1);
    const auto most =
        max_asked_factor * askers_per_worker * largest.workers / fleet +
        min_asked;
    if (asked.size() > most)
    {
        // Others that are alone keep other ones.
        std::ranges::sort(
            asked,
            {},
            [&](std::size_t one)
            { return hash_rank(workers[one].id, self.name); });
        asked.resize(most);
    }
    return asked;
}

} // namespace waxwingvalve::decision::steering
