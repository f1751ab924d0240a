#include "decision/steering/worker_choice.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace waxwingvalve::decision::steering
{
double hash_rank(std::string_view object, std::string_view worker_id)
{
    const auto seed = XXH3_64bits(object.data(), object.size());
    const auto hash =
        XXH3_64bits_withSeed(worker_id.data(), worker_id.size(), seed);
    return std::ldexp(static_cast<double>(hash >> 11), -53);
}

std::vector<ranked_worker> rank_workers(
    std::string_view object,
    std::span<const worker_candidate> candidates,
    const choice_policy& policy,
    bool urgent,
    std::size_t preceding_workers)
{
    std::vector<ranked_worker> all;
    all.reserve(candidates.size());
    for (const auto& one : candidates)
    {
        all.push_back(
            {one.index, hash_rank(object, one.id), one.load / one.slots});
    }
    std::ranges::sort(all, {}, &ranked_worker::rank);

    const double max_utilization =
        policy.max_utilization + (urgent ? policy.urgent_headroom : 0);
    std::vector<ranked_worker> open;
    for (std::size_t place = 0; place < all.size(); ++place)
    {
        const bool warm = preceding_workers + place < policy.warm_ranks;
        const double room_below =
            warm ? max_utilization
                 : std::min(max_utilization, policy.idle_utilization);
        if (all[place].utilization < room_below)
        {
            open.push_back(all[place]);
        }
    }
    return open;
}

} // namespace waxwingvalve::decision::steering
