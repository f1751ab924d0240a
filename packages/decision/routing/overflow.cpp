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

double draw_weight(const overflow_candidate& one)
{
    return one.free * halved_by(one.age, half_worth_age);
}

double preference(const overflow_candidate& one)
{
    return draw_weight(one) * halved_by(one.delay, half_worth_delay);
}

std::vector<overflow_candidate> nearest_with_room(
    std::span<const overflow_candidate> all)
{
    std::vector<overflow_candidate> same_zone;
    std::vector<overflow_candidate> elsewhere;
    for (const auto& one : all)
    {
        if (one.free > 0)
        {
            auto& group =
                one.distance == distance::same_zone ? same_zone : elsewhere;
            group.push_back(one);
        }
    }
    return same_zone.empty() ? elsewhere : same_zone;
}

} // namespace waxwingvalve::decision::routing
