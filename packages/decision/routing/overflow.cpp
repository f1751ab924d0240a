#include "decision/routing/overflow.hpp"

namespace waxwingvalve::decision::routing
{
namespace
{

// A figure of this age is worth half of a fresh one.
constexpr std::chrono::duration<double> half_worth_age{2.0};
// A delay that halves the preference.
constexpr std::chrono::duration<double> half_worth_delay{0.020};

double halved_by(
    std::chrono::duration<double> value, std::chrono::duration<double> half)
{
    return 1.0 / (1.0 + value / half);
}

} // namespace

double selection_weight(const overflow_candidate& candidate)
{
    return candidate.free * halved_by(candidate.age, half_worth_age);
}

double preference_score(const overflow_candidate& candidate)
{
    return selection_weight(candidate) *
           halved_by(candidate.delay, half_worth_delay);
}

std::vector<overflow_candidate> nearest_with_free_slots(
    std::span<const overflow_candidate> candidates)
{
    std::vector<overflow_candidate> same_zone;
    std::vector<overflow_candidate> elsewhere;
    for (const auto& candidate : candidates)
    {
        if (candidate.free > 0)
        {
            auto& group = candidate.distance == distance::same_zone ? same_zone
                                                                    : elsewhere;
            group.push_back(candidate);
        }
    }
    return same_zone.empty() ? elsewhere : same_zone;
}

} // namespace waxwingvalve::decision::routing
