// Tests the limit on buffered bytes. Pattern: many large uploads at once, among
// small requests.
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <limits>
#include <vector>

#include "base/byte_budget.hpp"

using waxwingvalve::base::byte_budget;
using waxwingvalve::base::byte_hold;

BOOST_AUTO_TEST_SUITE(byte_budgets)

BOOST_AUTO_TEST_CASE(uploads_beyond_the_limit_are_refused_until_others_end)
{
    constexpr std::uint64_t upload_bytes = 360 * 1024;
    constexpr std::size_t uploads = 1'000;
    byte_budget budget{16 * 1024 * 1024};
    std::vector<byte_hold> holds;
    std::uint64_t refused = 0;
    for (std::size_t i = 0; i < uploads; ++i)
    {
        byte_hold hold{budget};
        if (!hold.try_grow(upload_bytes))
        {
            ++refused;
            continue;
        }
        holds.push_back(std::move(hold));
        BOOST_TEST(budget.used() <= budget.limit());
    }
    BOOST_TEST(holds.size() == budget.limit() / upload_bytes);
    BOOST_TEST(refused == uploads - holds.size());
    BOOST_TEST(budget.refusals() == refused);
    holds.pop_back();
    byte_hold next{budget};
    BOOST_TEST(next.try_grow(upload_bytes));
}

BOOST_AUTO_TEST_CASE(a_body_without_length_grows_until_the_limit)
{
    constexpr std::uint64_t piece = 8 * 1024;
    byte_budget budget{64 * 1024};
    byte_hold hold{budget};
    std::uint64_t received = 0;
    while (hold.try_grow(received + piece))
    {
        received += piece;
    }
    BOOST_TEST(received == budget.limit());
    BOOST_TEST(hold.bytes() == received);
    hold.release();
    BOOST_TEST(budget.used() == 0U);
}

// An answer that is in memory already is passed on, whatever the limit; new
// requests are refused meanwhile.
BOOST_AUTO_TEST_CASE(bytes_in_memory_count_beyond_the_limit)
{
    byte_budget budget{100};
    {
        byte_hold answer{budget};
        answer.resize(150);
        byte_hold request{budget};
        BOOST_TEST(!request.try_grow(1));
    }
    BOOST_TEST(budget.used() == 0U);
}

BOOST_AUTO_TEST_CASE(the_largest_length_is_refused)
{
    byte_budget budget{100};
    byte_hold first{budget};
    BOOST_TEST(first.try_grow(60));
    byte_hold second{budget};
    BOOST_TEST(!second.try_grow(std::numeric_limits<std::uint64_t>::max()));
    BOOST_TEST(budget.used() == 60U);
}

BOOST_AUTO_TEST_CASE(a_moved_hold_gives_back_once)
{
    byte_budget budget{100};
    byte_hold first{budget};
    BOOST_TEST(first.try_grow(60));
    byte_hold second{std::move(first)};
    BOOST_TEST(budget.used() == 60U);
    second = byte_hold{budget};
    BOOST_TEST(budget.used() == 0U);
}

BOOST_AUTO_TEST_CASE(a_hold_without_a_budget_has_no_limit)
{
    byte_hold hold;
    BOOST_TEST(hold.try_grow(1'000'000));
    hold.resize(5);
    BOOST_TEST(hold.bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
