// Tests overload scenarios against a model of workers that run requests faster
// for objects in their memory.
#include <boost/test/unit_test.hpp>

#include "decision/steering/warm_worker_model.hpp"

namespace
{

using namespace waxwingvalve::decision::steering;
using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(overload_patterns)

// A burst of requests lasts two seconds. Requests that spill over to cold
// workers take three times as long, which keeps the workers full after the
// burst unless spillover is limited.
BOOST_AUTO_TEST_CASE(the_fleet_recovers_after_a_burst)
{
    model::load_plan plan;
    plan.requests_per_s = 225;
    plan.burst = 2.2;
    plan.burst_begin = 10s;
    plan.burst_end = 12s;
    model::fleet_model fleet{plan, {}, 1};
    const auto counts = fleet.run(25s);
    const auto before = model::in_time_share(counts, 5, 10);
    const auto after = model::in_time_share(counts, 16, 24);
    BOOST_TEST_MESSAGE("before " << before << " after " << after);
    BOOST_TEST(before >= 0.9);
    BOOST_TEST(after >= 0.9 * before);
}

// Sustained load above capacity. Refusing the excess at once lets the accepted
// requests finish in time.
BOOST_AUTO_TEST_CASE(most_capacity_is_useful_under_lasting_overload)
{
    model::load_plan plan;
    plan.requests_per_s = 700;
    model::fleet_model fleet{plan, {}, 2};
    const auto counts = fleet.run(20s);
    const double capacity =
        plan.workers * plan.slots /
        std::chrono::duration<double>(plan.warm_work).count();
    const auto share = model::in_time_share(counts, 8, 18);
    BOOST_TEST_MESSAGE(
        "in time " << share << " of " << capacity / plan.requests_per_s);
    BOOST_TEST(share >= 0.7 * capacity / plan.requests_per_s);
}

// Many daemons, each of which sees few answers of a worker, and a burst on a
// fleet at two thirds of its capacity. Requests that spill over to workers that
// only appear idle take the time of several others, which then spill over as
// well; the fleet must recover soon after the burst.
BOOST_AUTO_TEST_CASE(a_large_fleet_recovers_after_a_burst)
{
    model::load_plan plan;
    plan.daemons = 36;
    plan.workers = 50;
    plan.slots = 4;
    plan.queue = 12;
    plan.remembered_objects = 25;
    plan.objects = 265;
    plan.cold_work = 640ms;
    plan.warm_work = 192ms;
    plan.target = 500ms;
    plan.timeout = 1'250ms;
    plan.requests_per_s = 680;
    plan.burst = 2.0;
    plan.burst_begin = 8s;
    plan.burst_end = 11s;
    model::fleet_model fleet{plan, {}, 4};
    const auto counts = fleet.run(30s);
    const auto before = model::in_time_share(counts, 5, 8);
    const auto after = model::in_time_share(counts, 20, 29);
    BOOST_TEST_MESSAGE("before " << before << " after " << after);
    BOOST_TEST(before >= 0.9);
    BOOST_TEST(after >= 0.9 * before);
}

// All workers start with an empty memory.
BOOST_AUTO_TEST_CASE(a_cold_fleet_warms_up)
{
    model::load_plan plan;
    model::fleet_model fleet{plan, {}, 3};
    const auto counts = fleet.run(10s);
    const auto share = model::in_time_share(counts, 5, 9);
    BOOST_TEST_MESSAGE("in time " << share);
    BOOST_TEST(share >= 0.9);
}

BOOST_AUTO_TEST_SUITE_END()
