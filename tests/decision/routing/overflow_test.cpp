// Tests the choice of a daemon to forward requests to.
#include <array>
#include <random>

#include <boost/test/unit_test.hpp>

#include "decision/routing/overflow.hpp"

using namespace waxwingvalve::decision::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(overflow_to_other_daemons)

BOOST_AUTO_TEST_CASE(no_daemon_is_chosen_without_free_slots)
{
    std::mt19937_64 random{1};
    const std::vector<overflow_candidate> full{
        {0, distance::same_zone, 0, {}, {}}};
    BOOST_TEST(!choose_overflow(std::span{full}, random).has_value());
    BOOST_TEST(!choose_overflow({}, random).has_value());
}

BOOST_AUTO_TEST_CASE(the_same_zone_comes_before_one_with_more_free_slots)
{
    std::mt19937_64 random{1};
    const std::vector<overflow_candidate> candidates{
        {0, distance::same_zone, 1, {}, milliseconds{1}},
        {1, distance::same_region, 100, {}, milliseconds{4}}};
    for (int i = 0; i < 100; ++i)
    {
        BOOST_TEST(
            choose_overflow(std::span{candidates}, random).value() == 0U);
    }
}

// Guards against a herd: daemons with the same view must not all choose the
// zone with the most free slots.
BOOST_AUTO_TEST_CASE(the_zone_with_most_free_slots_is_not_overloaded)
{
    std::mt19937_64 random{1};
    std::vector<overflow_candidate> candidates;
    for (std::size_t i = 0; i < 5; ++i)
    {
        const auto free = static_cast<std::uint32_t>(i == 0 ? 12 : 10);
        candidates.push_back(
            {i, distance::other_region, free, {}, milliseconds{35}});
    }
    std::array<int, 5> chosen{};
    constexpr int draws = 10'000;
    for (int i = 0; i < draws; ++i)
    {
        ++chosen.at(choose_overflow(std::span{candidates}, random).value());
    }
    // The zone has 23% of the free slots; the limit is twice that.
    BOOST_TEST(chosen[0] < draws * 46 / 100);
    for (const int count : chosen)
    {
        BOOST_TEST(count > draws / 20);
    }
}

BOOST_AUTO_TEST_CASE(old_reports_and_distant_zones_score_lower)
{
    const overflow_candidate fresh{0, distance::same_region, 10, {}, {}};
    auto old = fresh;
    old.age = seconds{10};
    auto far = fresh;
    far.delay = milliseconds{35};
    BOOST_TEST(selection_weight(old) < selection_weight(fresh));
    BOOST_TEST(preference_score(far) < preference_score(fresh));
}

BOOST_AUTO_TEST_SUITE_END()
