// Patterns of heavy load, replayed against a model of workers that are faster
// with objects they know.
#include <boost/test/unit_test.hpp>

#include "decision/steering/warm_worker_model.hpp"

namespace
{

using namespace waxwingvalve::decision::steering;
using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(overload_patterns)

// Pattern: a burst of callers for two seconds. Requests that spill to workers
// that do not know their object take three times as long, which keeps the
// workers full after the burst is over unless the spill is held back.
BOOST_AUTO_TEST_CASE(after_a_burst_the_fleet_recovers)
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

// Pattern: more requests than the workers can run, for long. What is refused
// at once leaves the others their time.
BOOST_AUTO_TEST_CASE(under_lasting_overload_most_of_the_work_is_in_time)
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

// Pattern: many daemons, each of which sees few answers of a worker, and a
// burst on a fleet at two thirds of what it carries. Requests that spill to
// workers that only look idle take the time of several others, which then
// spill as well; the fleet must be out of that soon after the burst.
BOOST_AUTO_TEST_CASE(a_large_fleet_does_not_stay_slow_after_a_burst)
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

// Pattern: workers that start with no object in memory.
BOOST_AUTO_TEST_CASE(a_fleet_without_memory_warms_up)
{
    model::load_plan plan;
    model::fleet_model fleet{plan, {}, 3};
    const auto counts = fleet.run(10s);
    const auto share = model::in_time_share(counts, 5, 9);
    BOOST_TEST_MESSAGE("in time " << share);
    BOOST_TEST(share >= 0.9);
}

BOOST_AUTO_TEST_SUITE_END()
