// Tests the limit on attempts beyond the first.
#include <algorithm>
#include <cstdint>
#include <random>
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
constexpr std::int64_t percent_scale = 100;

// One step of a random run: time passes, then a first attempt is counted or a
// further one is requested.
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

BOOST_AUTO_TEST_CASE(failing_upstreams_get_at_most_the_percentage_more)
{
    retry_budget budget{percent};
    base::instant now{std::chrono::hours{1}};
    int attempts = 0;
    constexpr int requests = 10'000;
    constexpr int warm_up_requests = 100;
    for (int number = 0; number < requests + warm_up_requests; ++number)
    {
        now += milliseconds{1};
        budget.count_first_attempt(now);
        const bool retried = budget.spend(now);
        attempts += number < warm_up_requests ? 0 : 1 + (retried ? 1 : 0);
    }
    BOOST_TEST(attempts <= requests * 11 / 10);
    BOOST_TEST(attempts >= requests * 109 / 100);
}

// While only some requests fail, the budget holds at most one attempt beyond
// the percentage; while all fail, it holds none.
BOOST_AUTO_TEST_CASE(partial_failures_save_one_attempt_at_most)
{
    std::mt19937_64 random{20261204};
    int most_saved = 0;
    for (int run = 0; run < 1'000; ++run)
    {
        retry_budget budget{percent};
        base::instant now{std::chrono::hours{1}};
        const int requests = 100 + run % 20;
        for (int number = 0; number < requests; ++number)
        {
            now += milliseconds{1};
            budget.count_first_attempt(now);
            if (std::bernoulli_distribution{0.5}(random))
            {
                static_cast<void>(budget.spend(now));
            }
        }
        int saved = 0;
        while (budget.spend(now))
        {
            ++saved;
        }
        most_saved = std::max(most_saved, saved);
    }
    BOOST_TEST(most_saved == 1);
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

BOOST_AUTO_TEST_CASE(zero_percent_allows_no_retry)
{
    retry_budget budget{0};
    BOOST_TEST(!budget.spend(base::instant{std::chrono::hours{1}}));
}

BOOST_AUTO_TEST_CASE(granted_attempts_stay_within_percentage_and_reserve)
{
    const bool holds = rc::check(
        "retry budget",
        []
        {
            retry_budget budget{percent};
            const base::instant begin{std::chrono::hours{1}};
            auto now = begin;
            std::int64_t first_attempts = 0;
            std::int64_t granted = 0;
            for (const auto& [wait_ms, first] : random_steps())
            {
                now += milliseconds{wait_ms};
                if (first)
                {
                    ++first_attempts;
                    budget.count_first_attempt(now);
                }
                else
                {
                    granted += budget.spend(now) ? 1 : 0;
                }
                const auto top_ups =
                    1 + (now - begin) / retry_budget::low_traffic_interval;
                RC_ASSERT(
                    granted * percent_scale <=
                    first_attempts * percent +
                        (retry_budget::reserve + top_ups) * percent_scale);
            }
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
