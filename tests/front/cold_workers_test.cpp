// Tests the requests that reach a worker that has become cold, on the real path
// of many daemons with heartbeats between them. Nobody can read discovery, so
// that the worker alone can say that it is cold, in its health answers.
#include <boost/test/unit_test.hpp>

#include "front/cold_worker.hpp"
#include "front/fleet_fixture.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

constexpr int daemon_count = 30;
// The daemons' list of members counts as complete after this.
constexpr std::chrono::milliseconds settle_time{3'500};
constexpr std::chrono::milliseconds cold_time{3'000};
constexpr std::chrono::milliseconds call_interval{400};
// All daemons together; three workers share it.
constexpr double calls_per_s = daemon_count / 0.4;

} // namespace

BOOST_AUTO_TEST_SUITE(cold_workers)

// FAILBACK: with the store away, workers that had become cold got their usual
// load from all daemons and ended.
BOOST_AUTO_TEST_CASE(a_fleet_spares_a_worker_that_says_it_is_cold)
{
    fleet_fixture fleet{daemon_count};
    const auto first = add_cold_worker(fleet, "a");
    const auto second = add_cold_worker(fleet, "b");
    add_cold_worker(fleet, "c");
    fleet.start_callers(call_interval, caller_phase::spread);
    fleet.run_for(settle_time);
    fleet.lose_discovery();
    for (const auto& turning : {first, second, first})
    {
        turning->cold_arrivals.clear();
        turning->cold_until = base::monotonic_clock::now() + cold_time;
        fleet.run_for(cold_time);
        BOOST_TEST(turning->most_in_a_second() <= allowed_per_s);
        // A part of what it tolerates.
        BOOST_TEST(turning->cold_arrivals.size() >= 3U);
    }
    // Once warm, it gets its usual load again: half of it, or more.
    first->arrivals = 0;
    fleet.run_for(2s);
    BOOST_TEST(first->arrivals >= 0.5 * calls_per_s / 3 * 2);
    // Nobody is refused, since the others have room.
    fleet.finish_callers(10s);
    BOOST_TEST(fleet.callers().refused == 0);
}

// FAILBACK: a worker whose slots were taken by requests said too late that it
// was cold; others of its zone had said so.
BOOST_AUTO_TEST_CASE(a_fleet_spares_a_worker_whose_queue_hides_that_it_is_cold)
{
    fleet_fixture fleet{daemon_count};
    const auto first = add_cold_worker(fleet, "a");
    const auto second = add_cold_worker(fleet, "b");
    add_cold_worker(fleet, "c");
    fleet.start_callers(call_interval, caller_phase::spread);
    fleet.run_for(settle_time);
    fleet.lose_discovery();
    fleet.run_for(1s);
    second->queue = 2s;
    for (const auto& turning : {first, second})
    {
        turning->cold_until = base::monotonic_clock::now() + cold_time;
    }
    fleet.run_for(cold_time);
    BOOST_TEST(first->most_in_a_second() <= allowed_per_s);
    BOOST_TEST(second->most_in_a_second() <= allowed_per_s);
    // The third one answers that it is warm, and takes what they don't.
    fleet.finish_callers(10s);
    BOOST_TEST(fleet.callers().refused == 0);
}

// FAILBACK: requests that waited for their connections were sent to a worker
// that had become cold meanwhile, beyond what it tolerates.
BOOST_AUTO_TEST_CASE(a_request_is_not_sent_after_its_worker_has_become_cold)
{
    front_fixture front;
    front.add_worker("a", [](int) { return scripted_reply{}; });
    const auto* route = &front.view.configuration().routes.front();
    const auto now = base::monotonic_clock::now();
    const auto placed = front.view.place({route, "desk", "object"}, now);
    BOOST_REQUIRE(placed.has_value());
    auto& worker = *placed.value();
    BOOST_TEST(front.view.may_send(worker, {.route = route}, now, now + 1ms));
    front.view.record_cold_time(
        worker,
        {decision::steering::cold_source::peer, now + 2ms, now + 3s},
        now + 2ms);
    // This daemon's list of others isn't complete, so that it has no part.
    BOOST_TEST(!front.view.may_send(worker, {.route = route}, now, now + 3ms));
}

// Nobody starves a warm worker because discovery can't be read.
BOOST_AUTO_TEST_CASE(warm_workers_get_their_usual_load_without_discovery)
{
    fleet_fixture fleet{daemon_count};
    const auto first = add_cold_worker(fleet, "a");
    add_cold_worker(fleet, "b");
    fleet.start_callers(call_interval, caller_phase::spread);
    fleet.run_for(settle_time);
    first->arrivals = 0;
    fleet.run_for(2s);
    const auto usual = first->arrivals;
    fleet.lose_discovery();
    fleet.run_for(1s);
    first->arrivals = 0;
    fleet.run_for(2s);
    BOOST_TEST(first->arrivals >= 0.8 * usual);
    fleet.finish_callers(10s);
    BOOST_TEST(fleet.callers().refused == 0);
}

// Checks take slots, so there are few: five a second of each asker, and none
// while discovery tells.
BOOST_AUTO_TEST_CASE(workers_are_asked_only_without_discovery)
{
    fleet_fixture fleet{daemon_count};
    const auto only = add_cold_worker(fleet, "a");
    fleet.run_for(settle_time);
    BOOST_TEST(only->checks == 0);
    fleet.lose_discovery();
    fleet.run_for(2s);
    BOOST_TEST(only->checks >= 10);
    BOOST_TEST(only->checks <= 24);
}

BOOST_AUTO_TEST_SUITE_END()
