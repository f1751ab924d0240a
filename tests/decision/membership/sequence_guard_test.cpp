#include <boost/test/unit_test.hpp>

#include "decision/membership/sequence_guard.hpp"

using namespace waxwingvalve;

namespace
{

struct message_step
{
    std::uint64_t incarnation;
    std::uint64_t sequence;
    bool admitted;
};

} // namespace

BOOST_AUTO_TEST_CASE(an_older_or_duplicate_message_is_outdated)
{
    decision::membership::sequence_guard guard;
    constexpr message_step steps[]{
        {5, 1, true},
        {5, 1, false},
        {5, 3, true},
        {5, 2, false},
        {6, 1, true},
        {5, 9, false},
        {6, 2, true}};
    for (const auto& step : steps)
    {
        const auto result = guard.admit(
            {.sender = "addis-a-1",
             .incarnation = step.incarnation,
             .sequence = step.sequence});
        BOOST_TEST(result.has_value() == step.admitted);
        if (!result)
        {
            BOOST_TEST(
                (result.error().code == base::result_code::message_outdated));
        }
    }
}
