// How the requests of a region are divided among regions.
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "decision/steering/region_plan.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace waxwingvalve::decision::steering;
using waxwingvalve::base::instant;

// The workers of `isan` have a tenth of all slots, its callers send a third of
// all requests.
std::vector<region_supply> small_region_supplies()
{
    return {{"isan", 156, 400}, {"lanna", 624, 400}, {"plain", 744, 400}};
}

double share_of(
    const std::vector<planned_share>& shares, std::string_view region)
{
    double sum = 0;
    for (const auto& one : shares)
    {
        sum += one.region == region ? one.share : 0.0;
    }
    return sum;
}

// Requests a second for each slot of every region, when all divide theirs.
std::map<std::string, double> pressure(
    const std::vector<region_supply>& supplies)
{
    std::map<std::string, double> out;
    for (const auto& from : supplies)
    {
        for (const auto& to : divide_demand(supplies, from.region, {}))
        {
            out[to.region] += to.share * from.demand;
        }
    }
    for (const auto& one : supplies)
    {
        out[one.region] /= one.slots;
    }
    return out;
}

std::string object(int number)
{
    return std::to_string(number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(region_plans)

// Pattern: a region whose callers send far more than its workers carry.
// Without a division by capacity its workers are full while others idle.
BOOST_AUTO_TEST_CASE(a_small_region_is_no_fuller_than_others_allow)
{
    const auto supplies = small_region_supplies();
    const double mean = 1200.0 / (2 * (78 + 312 + 372));
    for (const auto& [region, requests_per_slot] : pressure(supplies))
    {
        BOOST_TEST_CONTEXT(region)
        BOOST_TEST(requests_per_slot <= 1.3 * mean);
    }
}

BOOST_AUTO_TEST_CASE(a_region_that_carries_its_callers_keeps_them)
{
    const auto supplies = small_region_supplies();
    BOOST_TEST(share_of(divide_demand(supplies, "lanna", {}), "lanna") > 0.98);
}

// Pattern: a region has lost its workers.
BOOST_AUTO_TEST_CASE(a_region_without_workers_gets_nothing)
{
    auto supplies = small_region_supplies();
    supplies[1].slots = 0;
    const auto shares = divide_demand(supplies, "lanna", {});
    BOOST_TEST(share_of(shares, "lanna") == 0.0);
    BOOST_TEST(share_of(shares, "plain") > share_of(shares, "isan"));
}

// Pattern: callers move from one region to another at once. Stated bound: the
// region of 0.15 of the requests changes from one window of 2 s to the next.
BOOST_AUTO_TEST_CASE(a_shift_of_callers_changes_shares_slowly)
{
    auto supplies = small_region_supplies();
    region_plan plan;
    instant now{1h};
    plan.update(supplies, "plain", now);
    supplies[2].demand = 2'000;
    double before = share_of(plan.shares(), "plain");
    for (int window = 0; window < 5; ++window)
    {
        for (int i = 0; i < 4; ++i)
        {
            now += 500ms;
            plan.update(supplies, "plain", now);
        }
        const double after = share_of(plan.shares(), "plain");
        BOOST_TEST(before - after < 0.15);
        before = after;
    }
    BOOST_TEST(before < 0.9);
}

// Pattern: half of a region's workers are taken out. Its requests would be
// refused while the division moves slowly, though other regions have room.
BOOST_AUTO_TEST_CASE(lost_capacity_changes_the_division_at_once)
{
    auto supplies = small_region_supplies();
    region_plan plan;
    instant now{1h};
    plan.update(supplies, "lanna", now);
    BOOST_TEST((plan.replaced_at() == instant{}));
    supplies[1].slots = 200;
    now += 500ms;
    plan.update(supplies, "lanna", now);
    BOOST_TEST(share_of(plan.shares(), "lanna") < 0.8);
    BOOST_TEST((plan.replaced_at() == now));
    now += 500ms;
    plan.update(supplies, "lanna", now);
    BOOST_TEST((plan.replaced_at() < now));
}

BOOST_AUTO_TEST_CASE(objects_follow_the_shares)
{
    region_plan plan;
    const auto supplies = small_region_supplies();
    plan.update(supplies, "isan", instant{1h});
    std::map<std::string, double> counts;
    constexpr int objects = 4'000;
    for (int i = 0; i < objects; ++i)
    {
        counts[std::string{plan.region_order(object(i)).front()}] +=
            1.0 / objects;
    }
    for (const auto& one : plan.shares())
    {
        BOOST_TEST_CONTEXT(one.region)
        BOOST_TEST(std::abs(counts[one.region] - one.share) < 0.03);
    }
}

BOOST_AUTO_TEST_CASE(a_small_change_moves_few_objects)
{
    auto supplies = small_region_supplies();
    region_plan before;
    before.update(supplies, "isan", instant{1h});
    supplies[0].slots = 144;
    region_plan after;
    after.update(supplies, "isan", instant{1h});
    int moved = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        moved += before.region_order(object(i)).front() !=
                         after.region_order(object(i)).front()
                     ? 1
                     : 0;
    }
    BOOST_TEST(moved < 60);
}

BOOST_AUTO_TEST_CASE(without_slots_there_is_no_division)
{
    auto supplies = small_region_supplies();
    for (auto& one : supplies)
    {
        one.slots = 0;
    }
    region_plan plan;
    plan.update(supplies, "isan", instant{1h});
    BOOST_TEST(plan.shares().empty());
    BOOST_TEST(plan.region_order("1").empty());
}

BOOST_AUTO_TEST_SUITE_END()
