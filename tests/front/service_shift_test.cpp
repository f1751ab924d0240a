// Tests that requests for one service don't move with those for another.
#include <boost/test/unit_test.hpp>

#include "front/shifting_fleet.hpp"

using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(service_shifts)

// SHIFT: a change of the capacity of one service lifts the limit for its
// requests, and those for another service, whose capacity has not changed,
// follow them.
BOOST_AUTO_TEST_CASE(requests_for_another_service_stay)
{
    shifting_fleet fleet{24};
    fleet.add_service("books");
    fleet.run(10s, 20);
    auto before = fleet.share("isan", fleet.now() - 2s, "books");
    fleet.remove_workers("isan-a", 18);
    for (int i = 0; i < 6; ++i)
    {
        const auto from = fleet.now();
        fleet.run(shifting_fleet::window, 20);
        const auto share = fleet.share("isan", from, "books");
        BOOST_TEST(share >= before - shifting_fleet::max_shift);
        before = share;
    }
}

BOOST_AUTO_TEST_SUITE_END()
