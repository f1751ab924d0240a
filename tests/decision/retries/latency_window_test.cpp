// Tests latency percentiles and the decisions that use the time left.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "decision/retries/latency_window.hpp"
#include "decision/retries/time_left.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::retries;
using std::chrono::milliseconds;

namespace
{

constexpr base::instant start{std::chrono::hours{1}};

} // namespace

BOOST_AUTO_TEST_SUITE(latency_windows)

BOOST_AUTO_TEST_CASE(a_percentile_is_at_most_an_eighth_too_high)
{
    const bool holds = rc::check(
        "latency window",
        []
        {
            const auto micros = *rc::gen::inRange<std::int64_t>(8, 60'000'000);
            latency_window window;
            for (int i = 0; i < 20; ++i)
            {
                window.add(std::chrono::microseconds{micros}, start);
            }
            const auto found = window.percentile(99, start);
            RC_ASSERT(found.has_value());
            RC_ASSERT(*found >= std::chrono::microseconds{micros});
            RC_ASSERT(*found <= std::chrono::microseconds{micros * 9 / 8 + 1});
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(discards_old_samples)
{
    latency_window window;
    for (int i = 0; i < 100; ++i)
    {
        window.add(milliseconds{5}, start);
    }
    BOOST_TEST(window.percentile(99, start).has_value());
    BOOST_TEST(
        !window.percentile(99, start + 2 * latency_window::rotation_interval)
             .has_value());
}

BOOST_AUTO_TEST_CASE(one_slow_worker_in_twelve_does_not_raise_the_median)
{
    service_latency service;
    for (int worker = 0; worker < 12; ++worker)
    {
        for (int i = 0; i < 50; ++i)
        {
            const milliseconds latency{worker == 0 ? 500 : 5};
            service.add(fmt::format("worker-{}", worker), latency, start);
        }
    }
    const auto median_percentile = service.median_percentile(99, start);
    BOOST_REQUIRE(median_percentile.has_value());
    BOOST_TEST((*median_percentile < milliseconds{6}));
}

BOOST_AUTO_TEST_CASE(hedges_and_attempts_must_fit_into_the_time_left)
{
    BOOST_TEST(!hedge_delay(milliseconds{9}, milliseconds{5}).has_value());
    BOOST_TEST(hedge_delay(milliseconds{10}, milliseconds{5}).has_value());
    BOOST_TEST(!hedge_delay(milliseconds{10}, std::nullopt).has_value());
    BOOST_TEST(!can_meet_deadline(milliseconds{4}, milliseconds{5}));
    BOOST_TEST(!can_meet_deadline(milliseconds{0}, std::nullopt));
    BOOST_TEST(can_meet_deadline(milliseconds{4}, std::nullopt));
}

BOOST_AUTO_TEST_SUITE_END()
