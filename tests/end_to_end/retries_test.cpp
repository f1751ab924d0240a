// Retries, hedges, silent connections and poison, with figures.
#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "end_to_end/answers_fixture.hpp"

using namespace waxwingvalve;
using harness::answers_cluster;
using harness::caller_result;
using std::chrono::milliseconds;

namespace
{

std::chrono::microseconds percentile(
    std::vector<caller_result> results, std::size_t percent)
{
    std::ranges::sort(results, {}, &caller_result::took);
    return results[results.size() * percent / 100].took;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retries)

BOOST_AUTO_TEST_CASE(hedging_hides_one_slow_worker_in_twelve)
{
    constexpr milliseconds slow{200};
    answers_cluster cluster{1, 12, false};
    std::vector<std::chrono::microseconds> worst;
    for (const std::uint32_t hedge : {0U, 95U})
    {
        cluster.set_shares(10, hedge);
        cluster.set_all_faults(R"({"service_ms": 40})");
        cluster.drive({.name = "warm", .callers = 12, .requests_each = 30});
        cluster.set_faults(
            cluster.workers().front().address, R"({"service_ms": 200})");
        const auto got =
            cluster.drive({.name = "slow", .callers = 12, .requests_each = 60});
        BOOST_TEST(std::ranges::all_of(
            got, [](const auto& one) { return one.status == 200U; }));
        worst.push_back(percentile(got, 99));
        BOOST_TEST_MESSAGE(fmt::format(
            "figure: hedge percentile {}, p50 {} us, p99 {} us",
            hedge,
            percentile(got, 50).count(),
            worst.back().count()));
    }
    BOOST_TEST((worst.front() >= slow));
    BOOST_TEST((worst.back() < slow));
}

BOOST_AUTO_TEST_CASE(look_ups_outlive_kept_connections_that_go_silent)
{
    const answers_cluster cluster{1, 12, true};
    cluster.drive({.name = "warm", .callers = 24, .requests_each = 20});
    cluster.set_faults(cluster.link_control(), R"({"silence_existing": true})");
    const auto got = cluster.drive(
        {.name = "silent",
         .callers = 24,
         .requests_each = 5,
         .deadline = milliseconds{1000}});
    const auto missed = std::ranges::count_if(
        got, [](const auto& one) { return one.status != 200U; });
    BOOST_TEST_MESSAGE(fmt::format(
        "figure: {} of {} look-ups missed, slowest {} us",
        missed,
        got.size(),
        percentile(got, 99).count()));
    BOOST_TEST(missed == 0);
}

BOOST_AUTO_TEST_CASE(filings_avoid_connections_that_may_be_silent)
{
    const answers_cluster cluster{1, 4, true};
    cluster.drive({.name = "warm", .callers = 8, .requests_each = 10});
    cluster.set_faults(cluster.link_control(), R"({"silence_existing": true})");
    // A filing trusts a connection for a fifth of a second.
    std::this_thread::sleep_for(milliseconds{250});
    for (int number = 0; number < 20; ++number)
    {
        const auto filed = cluster.file(
            cluster.first_entry(), fmt::format("silent-{}", number));
        BOOST_TEST(filed.status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_ends_workers_is_stopped)
{
    constexpr int zones = 3;
    const answers_cluster cluster{zones, 2 * zones, false};
    cluster.set_all_faults(R"({"crash_ms": 200})");
    std::vector<caller_result> others;
    for (int round = 0; round < 3; ++round)
    {
        for (const auto& entry : cluster.entries())
        {
            cluster.look_up(
                entry.caller_address, "/poison", milliseconds{2000}, true);
            for (int number = 0; number < 5; ++number)
            {
                others.push_back(cluster.look_up(
                    entry.caller_address,
                    fmt::format("/other/{}", number),
                    milliseconds{2000}));
            }
            // The worker comes back before the next try.
            std::this_thread::sleep_for(milliseconds{400});
        }
    }
    const auto lost = cluster.sum("crashes");
    BOOST_TEST_MESSAGE(fmt::format(
        "figure: {} workers lost to 9 sendings through {} entries",
        lost,
        zones));
    // Two for each daemon that owns workers.
    BOOST_TEST(lost <= 2 * zones);
    BOOST_TEST(lost > 0);
    BOOST_TEST(std::ranges::none_of(
        others, [](const auto& one) { return one.code == "2015"; }));
    for (const auto& entry : cluster.entries())
    {
        const auto again = cluster.look_up(
            entry.caller_address, "/poison", milliseconds{2000}, true);
        BOOST_TEST(again.code == "2015");
        BOOST_TEST(again.outcome == "not-run");
    }
}

BOOST_AUTO_TEST_SUITE_END()
