// Tests how the requests of a region are divided among regions.
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

// Region `isan` has a tenth of all slots, but its callers send a third of all
// requests.
std::vector<region_supply> small_region_supplies()
{
    return {{"isan", 156, 400}, {"lanna", 624, 400}, {"plain", 744, 400}};
}

double share_of(
    const std::vector<planned_share>& shares, std::string_view region)
{
    double sum = 0;
    for (const auto& planned : shares)
    {
        sum += planned.region == region ? planned.share : 0.0;
    }
    return sum;
}

// Returns the requests per second and slot of every region when all regions
// apply their division.
std::map<std::string, double> slot_loads(
    const std::vector<region_supply>& supplies)
{
    std::map<std::string, double> requests_per_slot;
    for (const auto& source : supplies)
    {
        for (const auto& target : divide_demand(supplies, source.region, {}))
        {
            requests_per_slot[target.region] += target.share * source.demand;
        }
    }
    for (const auto& supply : supplies)
    {
        requests_per_slot[supply.region] /= supply.slots;
    }
    return requests_per_slot;
}

std::string object_name(int number)
{
    return std::to_string(number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(region_plans)

// A region whose callers send far more than its workers can run. Without a
// division by capacity its workers are full while others are idle.
BOOST_AUTO_TEST_CASE(a_small_region_is_not_overloaded)
{
    const auto supplies = small_region_supplies();
    const double mean = 1200.0 / (2 * (78 + 312 + 372));
    for (const auto& [region, requests_per_slot] : slot_loads(supplies))
    {
        BOOST_TEST_CONTEXT(region)
        BOOST_TEST(requests_per_slot <= 1.3 * mean);
    }
}

BOOST_AUTO_TEST_CASE(a_region_with_enough_capacity_keeps_its_requests)
{
    const auto supplies = small_region_supplies();
    BOOST_TEST(share_of(divide_demand(supplies, "lanna", {}), "lanna") > 0.98);
}

// A region has lost its workers.
BOOST_AUTO_TEST_CASE(a_region_without_workers_gets_nothing)
{
    auto supplies = small_region_supplies();
    supplies[1].slots = 0;
    const auto shares = divide_demand(supplies, "lanna", {});
    BOOST_TEST(share_of(shares, "lanna") == 0.0);
    BOOST_TEST(share_of(shares, "plain") > share_of(shares, "isan"));
}

// Callers move from one region to another at once. Limit: at most 0.15 of the
// requests change their region between consecutive windows of 2 s.
BOOST_AUTO_TEST_CASE(a_change_of_demand_changes_shares_slowly)
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

// More than half of a region's slots are lost. If the division moved slowly,
// its requests would be refused although other regions have room.
BOOST_AUTO_TEST_CASE(lost_capacity_replaces_the_division_at_once)
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

BOOST_AUTO_TEST_CASE(objects_are_distributed_by_the_shares)
{
    region_plan plan;
    const auto supplies = small_region_supplies();
    plan.update(supplies, "isan", instant{1h});
    std::map<std::string, double> counts;
    constexpr int objects = 4'000;
    for (int i = 0; i < objects; ++i)
    {
        counts[std::string{plan.region_order(object_name(i)).front()}] +=
            1.0 / objects;
    }
    for (const auto& planned : plan.shares())
    {
        BOOST_TEST_CONTEXT(planned.region)
        BOOST_TEST(std::abs(counts[planned.region] - planned.share) < 0.03);
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
        moved += before.region_order(object_name(i)).front() !=
                         after.region_order(object_name(i)).front()
                     ? 1
                     : 0;
    }
    BOOST_TEST(moved < 60);
}

BOOST_AUTO_TEST_CASE(without_slots_there_is_no_division)
{
    auto supplies = small_region_supplies();
    for (auto& supply : supplies)
    {
        supply.slots = 0;
    }
    region_plan plan;
    plan.update(supplies, "isan", instant{1h});
    BOOST_TEST(plan.shares().empty());
    BOOST_TEST(plan.region_order("1").empty());
}

BOOST_AUTO_TEST_SUITE_END()
