// Tests the choice of a daemon to forward requests to.
#include <array>
#include <random>

#include <boost/test/unit_test.hpp>

#include "decision/routing/overflow.hpp"

using namespace waxwingvalve::decision::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(overflow_to_other_daemons)

BOOST_AUTO_TEST_CASE(nobody_is_chosen_without_room)
{
    std::mt19937_64 random{1};
    const std::vector<overflow_candidate> none{
        {0, distance::same_zone, 0, {}, {}}};
    BOOST_TEST(!choose_overflow(std::span{none}, random).has_value());
    BOOST_TEST(!choose_overflow({}, random).has_value());
}

BOOST_AUTO_TEST_CASE(the_own_zone_comes_before_an_emptier_one)
{
    std::mt19937_64 random{1};
    const std::vector<overflow_candidate> all{
        {0, distance::same_zone, 1, {}, milliseconds{1}},
        {1, distance::same_region, 100, {}, milliseconds{4}}};
    for (int at = 0; at < 100; ++at)
    {
        BOOST_TEST(choose_overflow(std::span{all}, random).value() == 0U);
    }
}

// With the same view everywhere, the emptiest zone must not draw everything.
BOOST_AUTO_TEST_CASE(the_emptiest_zone_draws_no_herd)
{
    std::mt19937_64 random{1};
    std::vector<overflow_candidate> all;
    for (std::size_t at = 0; at < 5; ++at)
    {
        const auto free = static_cast<std::uint32_t>(at == 0 ? 12 : 10);
        all.push_back({at, distance::other_region, free, {}, milliseconds{35}});
    }
    std::array<int, 5> chosen{};
    constexpr int draws = 10'000;
    for (int at = 0; at < draws; ++at)
    {
        ++chosen.at(choose_overflow(std::span{all}, random).value());
    }
    // Its share of the room is 23%; twice that would be a herd.
    BOOST_TEST(chosen[0] < draws * 46 / 100);
    for (const int one : chosen)
    {
        BOOST_TEST(one > draws / 20);
    }
}

BOOST_AUTO_TEST_CASE(an_old_figure_and_a_far_zone_count_less)
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
