#include "decision/quotas/quota_ranking.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace waxwingvalve::decision::quotas
{
namespace
{

// Of the rate, for all daemons that no owner answers.
constexpr double uncoordinated_part = 0.25;
// Fleet size that a daemon assumes which knows fewer, as after a start.
constexpr double assumed_daemons = 64;

bool heard(const quota_member& one)
{
    return one.silence <= quota_silence;
}

std::uint64_t rank_of(account_digest account, std::uint64_t daemon)
{
    return XXH3_64bits_withSeed(&daemon, sizeof daemon, account);
}

} // namespace

std::vector<std::uint64_t> rank_owners(
    account_digest account, const quota_fleet& fleet, std::size_t most)
{
    std::vector<std::pair<std::uint64_t, std::uint64_t>> ranked;
    ranked.reserve(fleet.members.size());
    for (const auto& one : fleet.members)
    {
        if (heard(one))
        {
            ranked.emplace_back(rank_of(account, one.key), one.key);
        }
    }
    const auto count = std::min(most, ranked.size());
    std::ranges::partial_sort(
        ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<std::uint64_t> best;
    for (std::size_t i = 0; i < count; ++i)
    {
        best.push_back(ranked[i].second);
    }
    return best;
}

double owned_share(account_digest account, const quota_fleet& fleet)
{
    const auto known = static_cast<double>(fleet.members.size());
    const auto heard_count =
        static_cast<double>(std::ranges::count_if(fleet.members, heard));
    if (!fleet.settled || 2 * heard_count <= known)
    {
        return 0;
    }
    const auto own_rank = rank_of(account, fleet.self);
    double share = heard_count / known;
    for (const auto& one : fleet.members)
    {
        const bool precedes = one.key != fleet.self && heard(one) &&
                              rank_of(account, one.key) < own_rank;
        if (!precedes)
        {
            continue;
        }
        if (one.known_for >= takeover_time)
        {
            return 0;
        }
        const bool near = one.known_for >= handover_time;
        share = near ? handover_part * heard_count / known : share;
    }
    return share;
}

bool owns_for_another(account_digest account, const quota_fleet& fleet)
{
    const auto own_rank = rank_of(account, fleet.self);
    return std::ranges::any_of(
        fleet.members,
        [&](const quota_member& one)
        {
            return one.key != fleet.self && heard(one) &&
                   rank_of(account, one.key) < own_rank;
        });
}

double uncoordinated_share(const quota_fleet& fleet)
{
    const auto known = static_cast<double>(fleet.members.size());
    return uncoordinated_part / std::max(known, assumed_daemons);
}

} // namespace waxwingvalve::decision::quotas
