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
    std::vector<ranked_worker> ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates)
    {
        const double rank = hash_rank(object, candidate.id);
        const bool claimed = rank < candidate.claim;
        ranked.push_back(
            {candidate.index,
             claimed ? rank - 1 : rank,
             candidate.load / candidate.slots});
    }
    std::ranges::sort(ranked, {}, &ranked_worker::rank);

    const double max_utilization =
        policy.max_utilization + (urgent ? policy.urgent_headroom : 0);
    std::vector<ranked_worker> available;
    for (std::size_t position = 0; position < ranked.size(); ++position)
    {
        const bool warm = preceding_workers + position < policy.warm_ranks;
        const double limit =
            warm ? max_utilization
                 : std::min(max_utilization, policy.idle_utilization);
        if (ranked[position].utilization < limit)
        {
            available.push_back(ranked[position]);
        }
    }
    return available;
}

} // namespace waxwingvalve::decision::steering
