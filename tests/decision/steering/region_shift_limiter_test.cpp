// How fast a region's requests may move to other regions.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "decision/steering/region_shift_limiter.hpp"

namespace
{

using namespace std::chrono_literals;
using waxwingvalve::base::instant;
using waxwingvalve::decision::steering::region_shift_limiter;

constexpr double step = 0.15;

struct run
{
    instant at{};
    std::string region{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(region_paces)

// Pattern: most callers of a zone move to another one within a second, and
// the region that takes them has no room for all. Stated bound: no more than
// `step` of the share changes from one window of two seconds to the next.
BOOST_AUTO_TEST_CASE(a_sudden_move_changes_shares_step_by_step)
{
    region_shift_limiter pace;
    std::vector<run> runs;
    const instant begin{1h};
    for (auto now = begin; now < begin + 90s; now += 20ms)
    {
        // From the tenth second on every request would go abroad.
        const bool wants_abroad = now >= begin + 10s;
        const std::string wanted = wants_abroad ? "harar" : "addis";
        const std::string other = wants_abroad ? "addis" : "harar";
        const auto region = pace.allows(wanted, step, now) ? wanted : other;
        pace.count(region, step, now);
        runs.push_back({now, region});
    }
    for (auto from = begin + 2s; from < begin + 86s; from += 100ms)
    {
        std::map<bool, double> abroad;
        std::map<bool, double> all;
        for (const auto& one : runs)
        {
            if (one.at < from || one.at >= from + 4s)
            {
                continue;
            }
            const bool later = one.at >= from + 2s;
            all[later] += 1;
            abroad[later] += one.region == "harar" ? 1 : 0;
        }
        const double change =
            abroad[true] / all[true] - abroad[false] / all[false];
        BOOST_TEST(change <= step);
    }
    // In the end nearly all of them have moved.
    const auto last = std::ranges::count_if(
        runs,
        [&](const run& one)
        { return one.at >= begin + 80s && one.region == "harar"; });
    BOOST_TEST(last >= 475);
}

// Pattern: the first seconds of a fleet, in which every object is new to its
// worker, the near workers queue and all requests would go abroad. They
// return home seconds later, so what may go is bounded from the first
// request on. Stated bound: `step`.
BOOST_AUTO_TEST_CASE(the_first_requests_keep_to_the_expected_shares)
{
    using waxwingvalve::decision::steering::planned_share;
    const std::vector<planned_share> expected{{"addis", 0.99}, {"harar", 0.01}};
    region_shift_limiter pace;
    int abroad = 0;
    constexpr int requests = 40;
    const instant begin{1h};
    for (int i = 0; i < requests; ++i)
    {
        const auto now = begin + i * 50ms;
        pace.seed_shares(expected, now);
        const bool allowed = pace.allows("harar", step, now);
        pace.count(allowed ? "harar" : "addis", step, now);
        abroad += allowed ? 1 : 0;
    }
    BOOST_TEST(abroad <= step * requests);
}

// Pattern: a small region that sends most of its requests elsewhere. Each of
// the first requests finds a region that may take it.
BOOST_AUTO_TEST_CASE(planned_shares_refuse_no_first_request)
{
    using waxwingvalve::decision::steering::planned_share;
    const std::vector<planned_share> expected{
        {"isan", 0.27}, {"lanna", 0.33}, {"plain", 0.4}};
    region_shift_limiter pace;
    const instant begin{1h};
    for (int i = 0; i < 100; ++i)
    {
        const auto now = begin + i * 50ms;
        pace.seed_shares(expected, now);
        const auto found = std::ranges::find_if(
            expected,
            [&](const planned_share& one)
            { return pace.allows(one.region, step, now); });
        BOOST_REQUIRE((found != expected.end()));
        pace.count(found->region, step, now);
    }
}

BOOST_AUTO_TEST_CASE(without_a_past_every_region_is_allowed)
{
    region_shift_limiter pace;
    BOOST_TEST(pace.allows("addis", step, instant{1h}));
    BOOST_TEST(pace.allows("harar", step, instant{1h}));
}

BOOST_AUTO_TEST_SUITE_END()
