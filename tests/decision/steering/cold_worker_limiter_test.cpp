// Tests the request rate at a cold worker, limited by many daemons without
// coordination.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "decision/steering/cold_worker_limiter.hpp"
#include "decision/steering/fleet_members.hpp"

namespace
{

using namespace std::chrono_literals;
using waxwingvalve::base::instant;
using waxwingvalve::decision::steering::cold_worker_limiter;

std::vector<std::string> daemon_names(int count)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        names.push_back("daemon-" + std::to_string(i));
    }
    return names;
}

// Returns the largest number of requests within any second that the daemons
// `names` send together, each trying every 5 ms for four seconds and knowing
// the daemons `known_daemons`.
int max_requests_per_second(
    const std::vector<std::string>& names,
    const std::vector<std::string>& known_daemons,
    double rate)
{
    std::vector<cold_worker_limiter> limiters(names.size());
    std::vector<instant> sent;
    const instant begin{1h};
    for (auto now = begin; now < begin + 4s; now += 5ms)
    {
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            if (limiters[i].try_acquire(
                    "worker-7", rate, names[i], known_daemons, true, now))
            {
                sent.push_back(now);
            }
        }
    }
    int max_count = 0;
    for (const auto window_start : sent)
    {
        int count = 0;
        for (const auto sent_at : sent)
        {
            count +=
                sent_at >= window_start && sent_at < window_start + 1s ? 1 : 0;
        }
        max_count = std::max(max_count, count);
    }
    return max_count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_worker_limiters)

// The workers of a zone restart cold together and every daemon has requests for
// them. Limit: 1.5 times the rate plus 5.
BOOST_AUTO_TEST_CASE(all_daemons_together_stay_within_the_rate)
{
    const double rate = 7.2;
    const auto names = daemon_names(11);
    const auto max_rate = max_requests_per_second(names, names, rate);
    BOOST_TEST(max_rate <= rate * 1.5 + 5);
    BOOST_TEST(max_rate >= 3);
}

BOOST_AUTO_TEST_CASE(a_large_fleet_stays_within_the_rate)
{
    const double rate = 4.2;
    const auto names = daemon_names(72);
    BOOST_TEST(max_requests_per_second(names, names, rate) <= rate * 1.5 + 5);
}

// A partitioned fleet in which each daemon knows only itself.
BOOST_AUTO_TEST_CASE(isolated_daemons_stay_within_the_rate)
{
    const double rate = 7.2;
    const auto names = daemon_names(11);
    std::vector<cold_worker_limiter> limiters(names.size());
    int sent = 0;
    const instant begin{1h};
    for (auto now = begin; now < begin + 1s; now += 5ms)
    {
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            const std::vector<std::string> alone{names[i]};
            sent += limiters[i].try_acquire(
                        "worker-7", rate, names[i], alone, true, now)
                        ? 1
                        : 0;
        }
    }
    BOOST_TEST(sent <= rate * 1.5 + 5);
}

// A fleet of 72 daemons restarts at once after a power loss, beside a cold
// worker; each daemon discovers the others one by one. Limit: 1.5 times the
// rate plus 8.
BOOST_AUTO_TEST_CASE(a_starting_fleet_stays_within_the_rate)
{
    const double rate = 3.3;
    const auto names = daemon_names(72);
    std::vector<cold_worker_limiter> limiters(names.size());
    const instant begin{1h};
    const auto settle_time =
        waxwingvalve::decision::steering::fleet_members::settle_time;
    int sent_in_second = 0;
    for (auto now = begin; now < begin + 8s; now += 5ms)
    {
        if ((now - begin) % 1s == 0s)
        {
            sent_in_second = 0;
        }
        const std::chrono::duration<double> uptime{now - begin};
        const double known_fraction = std::min(1.0, uptime.count() / 2.5);
        const auto known = static_cast<std::ptrdiff_t>(1 + known_fraction * 71);
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            auto seen = names;
            std::rotate(
                seen.begin(),
                seen.begin() + static_cast<std::ptrdiff_t>(i),
                seen.end());
            seen.resize(static_cast<std::size_t>(known));
            const bool settled = now - begin >= settle_time;
            sent_in_second +=
                limiters[i].try_acquire(
                    "worker-7", rate, names[i], seen, settled, now)
                    ? 1
                    : 0;
        }
        BOOST_TEST(sent_in_second <= rate * 1.5 + 8);
    }
    BOOST_TEST(sent_in_second > 0);
}

// 72 daemons that know no other, each with its first request.
BOOST_AUTO_TEST_CASE(no_request_is_sent_before_the_member_list_settles)
{
    const auto names = daemon_names(72);
    for (const auto& name : names)
    {
        cold_worker_limiter limiter;
        const std::vector<std::string> alone{name};
        BOOST_TEST(!limiter.try_acquire(
            "worker-7", 3.3, name, alone, false, instant{1h}));
    }
}

BOOST_AUTO_TEST_CASE(no_rate_means_no_requests)
{
    cold_worker_limiter limiter;
    const auto names = daemon_names(1);
    BOOST_TEST(!limiter.try_acquire(
        "worker-7", 0.0, names[0], names, true, instant{1h}));
}

BOOST_AUTO_TEST_SUITE_END()
