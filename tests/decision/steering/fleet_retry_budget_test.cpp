// Tests the retry budget of a fleet whose daemons do not coordinate.
#include <boost/test/unit_test.hpp>

#include <vector>

#include "decision/steering/fleet_retry_budget.hpp"

namespace
{

using namespace std::chrono_literals;
using waxwingvalve::base::instant;
using waxwingvalve::decision::steering::fleet_retry_budget;
using waxwingvalve::decision::steering::fleet_retry_budget_settings;

const fleet_retry_budget_settings terms{
    .ratio = 0.2, .window = 10s, .allowance = 62};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_retry_budgets)

// Every attempt fails at every daemon for a minute. Limit: a fifth of the
// requests plus 62 retries in any ten seconds.
BOOST_AUTO_TEST_CASE(daemons_together_stay_within_the_budget)
{
    constexpr std::size_t daemons = 11;
    std::vector<fleet_retry_budget> budgets(daemons);
    std::vector<instant> requests;
    std::vector<instant> retries;
    const instant begin{1h};
    for (auto now = begin; now < begin + 60s; now += 50ms)
    {
        for (auto& budget : budgets)
        {
            budget.count_request(now);
            requests.push_back(now);
            if (budget.spend(terms, 16, now))
            {
                retries.push_back(now);
            }
        }
    }
    for (auto window_start = begin; window_start < begin + 50s;
         window_start += 500ms)
    {
        const auto within = [&](instant time)
        { return time >= window_start && time < window_start + 10s; };
        const auto request_count = std::ranges::count_if(requests, within);
        const auto retry_count = std::ranges::count_if(retries, within);
        BOOST_TEST(
            static_cast<double>(retry_count) <=
            terms.ratio * static_cast<double>(request_count) + terms.allowance);
    }
    BOOST_TEST(retries.size() > requests.size() / 10);
}

// A daemon that has just started and has counted no requests.
BOOST_AUTO_TEST_CASE(the_allowance_is_divided_among_the_daemons)
{
    fleet_retry_budget budget;
    int spent = 0;
    while (spent < 100 && budget.spend(terms, 16, instant{1h}))
    {
        ++spent;
    }
    BOOST_TEST(spent * 16 <= 62);
    BOOST_TEST(spent >= 1);
}

BOOST_AUTO_TEST_CASE(requests_outside_the_window_do_not_count)
{
    fleet_retry_budget budget;
    const fleet_retry_budget_settings no_allowance{
        .ratio = 0.2, .window = 10s, .allowance = 0};
    const instant begin{1h};
    for (int i = 0; i < 100; ++i)
    {
        budget.count_request(begin);
    }
    BOOST_TEST(budget.spend(no_allowance, 1, begin + 1s));
    BOOST_TEST(!budget.spend(no_allowance, 1, begin + 30s));
}

BOOST_AUTO_TEST_SUITE_END()
