// Tests the phases of a graceful shutdown.
#include <chrono>

#include <boost/test/unit_test.hpp>

#include "decision/drains/planned_stop.hpp"

using namespace std::chrono_literals;
using waxwingvalve::base::instant;
using waxwingvalve::decision::drains::planned_stop;
using waxwingvalve::decision::drains::stop_phase;

BOOST_AUTO_TEST_SUITE(planned_stops)

BOOST_AUTO_TEST_CASE(
    lingers_for_the_list_lifetime_then_finishes_running_requests)
{
    const instant start{};
    planned_stop stop;
    BOOST_TEST((stop.advance(start, 0) == stop_phase::serving));
    stop.begin(start, 5s);
    BOOST_TEST((stop.advance(start + 4999ms, 0) == stop_phase::lingering));
    BOOST_TEST((stop.advance(start + 5s, 1) == stop_phase::finishing));
    BOOST_TEST((stop.advance(start + 9s, 1) == stop_phase::finishing));
    BOOST_TEST((stop.advance(start + 10s, 0) == stop_phase::ended));
}

BOOST_AUTO_TEST_CASE(a_second_begin_does_not_prolong_the_first)
{
    const instant start{};
    planned_stop stop;
    stop.begin(start, 5s);
    stop.begin(start + 4s, 5s);
    BOOST_TEST((stop.advance(start + 5s, 1) == stop_phase::finishing));
}

BOOST_AUTO_TEST_SUITE_END()
