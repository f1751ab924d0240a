#include "decision/routing/overflow.hpp"

namespace waxwingvalve::decision::routing
{
namespace
{

// Age, in seconds, at which a report's free slots count half.
constexpr std::chrono::duration<double> half_weight_age{2.0};
// One-way delay, in seconds, that halves the score.
constexpr std::chrono::duration<double> half_score_delay{0.020};

// Hyperbolic discount: 1 at zero, 1/2 at `half_point`.
double discount(
    std::chrono::duration<double> value,
    std::chrono::duration<double> half_point)
{
    return 1.0 / (1.0 + value / half_point);
}

} // namespace

double selection_weight(const overflow_candidate& candidate)
{
    return candidate.free * discount(candidate.age, half_weight_age);
}

double preference_score(const overflow_candidate& candidate)
{
    return selection_weight(candidate) *
           discount(candidate.delay, half_score_delay);
}

std::vector<overflow_candidate> nearest_with_free_slots(
    std::span<const overflow_candidate> candidates)
{
    std::vector<overflow_candidate> same_zone;
    std::vector<overflow_candidate> other_zones;
    for (const auto& candidate : candidates)
    {
        if (candidate.free > 0)
        {
            auto& group = candidate.distance == distance::same_zone
                              ? same_zone
                              : other_zones;
            group.push_back(candidate);
        }
    }
    return same_zone.empty() ? other_zones : same_zone;
}

} // namespace waxwingvalve::decision::routing
