// Tests the limit on attempts beyond the first.
#include <cstdint>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "decision/retries/retry_budget.hpp"

using namespace waxwingvalve;
using decision::retries::retry_budget;
using std::chrono::milliseconds;

namespace
{

constexpr std::int64_t percent = 10;
constexpr std::int64_t whole = 100;

// One step of a random run: time passes, then a first attempt or a wish for
// another one.
struct step
{
    std::int64_t wait_ms{};
    bool first{};
};

std::vector<step> random_steps()
{
    return *rc::gen::container<std::vector<step>>(rc::gen::apply(
        [](std::int64_t wait_ms, bool first) {
            return step{wait_ms, first};
        },
        rc::gen::inRange<std::int64_t>(0, 400),
        rc::gen::arbitrary<bool>()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_budgets)

BOOST_AUTO_TEST_CASE(failing_upstreams_get_at_most_the_share_more)
{
    retry_budget budget{percent};
    base::instant now{std::chrono::hours{1}};
    int attempts = 0;
    constexpr int requests = 10'000;
    constexpr int settling = 100;
    for (int number = 0; number < requests + settling; ++number)
    {
        now += milliseconds{1};
        budget.count_first_attempt(now);
        const bool again = budget.spend(now);
        attempts += number < settling ? 0 : 1 + (again ? 1 : 0);
    }
    BOOST_TEST(attempts <= requests * 11 / 10);
    BOOST_TEST(attempts >= requests * 109 / 100);
}

BOOST_AUTO_TEST_CASE(low_traffic_can_retry)
{
    retry_budget budget{percent};
    base::instant now{std::chrono::hours{1}};
    for (int number = 0; number < 20; ++number)
    {
        now += std::chrono::seconds{11};
        budget.count_first_attempt(now);
        BOOST_TEST(budget.spend(now));
    }
}

BOOST_AUTO_TEST_CASE(a_share_of_nothing_allows_nothing)
{
    retry_budget budget{0};
    BOOST_TEST(!budget.spend(base::instant{std::chrono::hours{1}}));
}

BOOST_AUTO_TEST_CASE(no_run_of_steps_gets_more_than_share_and_reserve)
{
    const bool holds = rc::check(
        "retry budget",
        []
        {
            retry_budget budget{percent};
            const base::instant begin{std::chrono::hours{1}};
            auto now = begin;
            std::int64_t firsts = 0;
            std::int64_t granted = 0;
            for (const auto& [wait_ms, first] : random_steps())
            {
                now += milliseconds{wait_ms};
                if (first)
                {
                    ++firsts;
                    budget.count_first_attempt(now);
                }
                else
                {
                    granted += budget.spend(now) ? 1 : 0;
                }
                const auto given =
                    1 + (now - begin) / retry_budget::low_traffic_interval;
                RC_ASSERT(
                    granted * whole <=
                    firsts * percent + (retry_budget::reserve + given) * whole);
            }
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
