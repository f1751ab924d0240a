#include <chrono>

#include <boost/test/unit_test.hpp>

#include "base/latency.hpp"

using namespace std::chrono_literals;
using waxwingvalve::base::instant;
using waxwingvalve::base::latency_window;

BOOST_AUTO_TEST_SUITE(latencies)

BOOST_AUTO_TEST_CASE(is_empty_before_the_first)
{
    latency_window window{60s};
    BOOST_TEST(window.summary(instant{}).count == 0U);
    BOOST_TEST(window.summary(instant{}).p99.count() == 0);
}

// 1 to 1000 ms once each: the estimate may be off by 2% of the range.
BOOST_AUTO_TEST_CASE(estimates_quantiles)
{
    latency_window window{60s};
    const instant start{};
    for (int step = 0; step < 1000; ++step)
    {
        // 387 and 1000 share no factor, so that each value comes once.
        window.add(start, std::chrono::milliseconds{1 + step * 387 % 1000});
    }
    const auto summary = window.summary(start);
    BOOST_TEST(summary.count == 1000U);
    BOOST_TEST(std::abs(summary.p50.count() - 500'000) < 20'000);
    BOOST_TEST(std::abs(summary.p99.count() - 990'000) < 20'000);
    BOOST_TEST(summary.highest.count() == 1'000'000);
}

BOOST_AUTO_TEST_CASE(forgets_an_old_window_but_not_the_count)
{
    latency_window window{60s};
    const instant start{};
    window.add(start, 900ms);
    window.add(start + 61s, 1ms);
    window.add(start + 122s, 1ms);
    const auto summary = window.summary(start + 122s);
    BOOST_TEST(summary.highest.count() == 1000);
    BOOST_TEST(summary.count == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
