#include "decision/ownership/rendezvous.hpp"

#include <utility>

#include <xxhash.h>

namespace waxwingvalve::decision::ownership
{
namespace
{

std::uint64_t score(std::string_view key, std::string_view candidate)
{
    const auto seed = XXH3_64bits(candidate.data(), candidate.size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

} // namespace

std::optional<std::string_view> rendezvous(
    std::string_view key, std::span<const std::string> candidates)
{
    std::optional<std::string_view> best;
    std::uint64_t best_score{};
    for (const auto& candidate : candidates)
    {
        const auto candidate_score = score(key, candidate);
        // Equal scores are ordered by name, so that every daemon chooses the
        // same candidate.
        const bool is_best =
            !best || std::pair{candidate_score, std::string_view{candidate}} >
                         std::pair{best_score, *best};
        if (is_best)
        {
            best = candidate;
            best_score = candidate_score;
        }
    }
    return best;
}

} // namespace waxwingvalve::decision::ownership
