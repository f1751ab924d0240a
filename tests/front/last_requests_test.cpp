// Tests that shares of regions change slowly when few requests are left.
#include <boost/test/unit_test.hpp>

#include "front/shifting_fleet.hpp"

using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(last_requests)

// SHIFT: traffic ends while a region has no room, and what is left are repeats
// of the requests that belong there. Each daemon had saved credit for one and a
// half of them.
BOOST_AUTO_TEST_CASE(the_last_requests_move_no_faster)
{
    shifting_fleet fleet{240};
    fleet.remove_workers("isan-a", 12);
    fleet.run(10s, 20.0);
    const auto objects = fleet.objects_of("plain");
    fleet.set_load("plain-a", 1'000);
    fleet.run(5s, 20.0);
    const auto ended = fleet.now();
    fleet.set_load("plain-a", 0);
    fleet.set_objects(objects);
    fleet.run(2s, 3.0);
    BOOST_TEST(
        fleet.largest_change(ended - 3s, fleet.now()) <=
        shifting_fleet::max_shift);
}

BOOST_AUTO_TEST_SUITE_END()
