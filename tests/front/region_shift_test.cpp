// Tests that shares of regions change slowly, summed over many daemons.
#include <boost/test/unit_test.hpp>

#include <vector>

#include "front/shifting_fleet.hpp"

using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

constexpr double max_shift = shifting_fleet::max_shift;
// A disruption doesn't count any more after this.
constexpr auto contact = 3s;

struct daemon_load
{
    int daemons{};
    // Of each.
    double requests_per_s{};
};

// About a thousand requests a window, so that chance moves a share by less than
// 0.07.
const std::vector<daemon_load> loads{{24, 20}, {72, 7}, {240, 2}};

} // namespace

BOOST_AUTO_TEST_SUITE(region_shifts)

// SHIFT: 4 s after a change of capacity, requests moved back and forth.
// Most of the region's workers leave. Their requests move at once, without a
// limit for 4 s; once it applies again, the requests stay where they are.
BOOST_AUTO_TEST_CASE(requests_stay_where_they_moved_without_a_limit)
{
    for (const auto& load : loads)
    {
        shifting_fleet fleet{load.daemons};
        fleet.run(10s, load.requests_per_s);
        fleet.remove_workers("isan-a", 18);
        fleet.run(shifting_fleet::window, load.requests_per_s);
        const auto moved = fleet.now();
        fleet.run(12s, load.requests_per_s);
        BOOST_TEST_CONTEXT(load.daemons << " daemons")
        {
            BOOST_TEST(fleet.largest_change(moved, fleet.now()) <= max_shift);
        }
    }
}

BOOST_AUTO_TEST_CASE(requests_stay_after_a_restart_of_all_daemons)
{
    for (const auto& load : loads)
    {
        shifting_fleet fleet{load.daemons};
        fleet.remove_workers("isan-a", 12);
        fleet.run(10s, load.requests_per_s);
        fleet.restart_all();
        fleet.run(contact, load.requests_per_s);
        const auto settled = fleet.now();
        fleet.run(15s, load.requests_per_s);
        BOOST_TEST_CONTEXT(load.daemons << " daemons")
        {
            BOOST_TEST(fleet.largest_change(settled, fleet.now()) <= max_shift);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
