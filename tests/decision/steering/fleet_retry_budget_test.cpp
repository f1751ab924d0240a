// Sends beyond the first, bounded over a fleet whose daemons do not ask each
// other.
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

// Pattern: every send fails at every daemon for a minute. Stated bound: a
// fifth of the requests and 62 in any ten seconds.
BOOST_AUTO_TEST_CASE(daemons_that_all_fail_keep_the_bound_together)
{
    constexpr std::size_t daemons = 11;
    std::vector<fleet_retry_budget> budgets(daemons);
    std::vector<instant> requests;
    std::vector<instant> further;
    const instant begin{1h};
    for (auto now = begin; now < begin + 60s; now += 50ms)
    {
        for (auto& one : budgets)
        {
            one.count_request(now);
            requests.push_back(now);
            if (one.spend(terms, 16, now))
            {
                further.push_back(now);
            }
        }
    }
    for (auto from = begin; from < begin + 50s; from += 500ms)
    {
        const auto within = [&](instant at)
        { return at >= from && at < from + 10s; };
        const auto asked = std::ranges::count_if(requests, within);
        const auto sent = std::ranges::count_if(further, within);
        BOOST_TEST(
            static_cast<double>(sent) <=
            terms.ratio * static_cast<double>(asked) + terms.allowance);
    }
    BOOST_TEST(further.size() > requests.size() / 10);
}

// Pattern: a daemon that just started and knows no requests yet.
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

BOOST_AUTO_TEST_CASE(old_requests_earn_nothing)
{
    fleet_retry_budget budget;
    const fleet_retry_budget_settings bare{
        .ratio = 0.2, .window = 10s, .allowance = 0};
    const instant begin{1h};
    for (int i = 0; i < 100; ++i)
    {
        budget.count_request(begin);
    }
    BOOST_TEST(budget.spend(bare, 1, begin + 1s));
    BOOST_TEST(!budget.spend(bare, 1, begin + 30s));
}

BOOST_AUTO_TEST_SUITE_END()
