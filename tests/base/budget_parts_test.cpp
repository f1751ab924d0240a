// Tests the parts of a budget. Pattern: one of many workers or callers takes
// all that it can get.
#include <boost/test/unit_test.hpp>

#include "base/budget_parts.hpp"

using namespace waxwingvalve::base;

BOOST_AUTO_TEST_SUITE(budget_part)

BOOST_AUTO_TEST_CASE(one_part_leaves_the_rest_to_others)
{
    byte_budget whole{1'000};
    budget_parts parts{whole, 400};
    byte_hold greedy{parts.of("a")};
    byte_hold more{parts.of("a")};
    BOOST_TEST(greedy.try_grow(300));
    BOOST_TEST(!more.try_grow(200));
    BOOST_TEST(more.over_part(200));
    byte_hold other{parts.of("b")};
    BOOST_TEST(other.try_grow(400));
    BOOST_TEST(whole.used() == 700U);
    // What the whole lacks is no fault of the part.
    byte_hold third{parts.of("c")};
    BOOST_TEST(!third.try_grow(350));
    BOOST_TEST(!third.over_part(350));
}

BOOST_AUTO_TEST_CASE(a_part_ends_with_its_last_user)
{
    byte_budget whole{1'000};
    budget_parts parts{whole, 400};
    {
        byte_hold hold{parts.of("a")};
        BOOST_TEST(hold.try_grow(100));
        byte_hold moved{std::move(hold)};
        BOOST_TEST(parts.size() == 1U);
        BOOST_TEST(whole.used() == 100U);
    }
    BOOST_TEST(parts.size() == 0U);
    BOOST_TEST(whole.used() == 0U);
}

BOOST_AUTO_TEST_CASE(kept_bytes_are_left_by_ordinary_claims)
{
    byte_budget whole{1'000};
    whole.keep_back(250);
    byte_hold ordinary{whole};
    BOOST_TEST(!ordinary.try_grow(751));
    BOOST_TEST(ordinary.try_grow(750));
    byte_hold kept{whole, byte_claim::kept};
    BOOST_TEST(kept.try_grow(250));
    BOOST_TEST(!kept.try_grow(251));
}

BOOST_AUTO_TEST_SUITE_END()
