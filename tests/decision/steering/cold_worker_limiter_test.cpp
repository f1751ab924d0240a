// The rate at a cold worker, held by many daemons that do not ask each other.
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
    std::vector<std::string> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        out.push_back("daemon-" + std::to_string(i));
    }
    return out;
}

// The most requests within any second that `names` send together, each
// trying every 5 ms for four seconds, each knowing `known`.
int most_in_a_second(
    const std::vector<std::string>& names,
    const std::vector<std::string>& known,
    double rate)
{
    std::vector<cold_worker_limiter> paces(names.size());
    std::vector<instant> sent;
    const instant begin{1h};
    for (auto now = begin; now < begin + 4s; now += 5ms)
    {
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            if (paces[i].try_acquire(
                    "worker-7", rate, names[i], known, true, now))
            {
                sent.push_back(now);
            }
        }
    }
    int most = 0;
    for (const auto from : sent)
    {
        int count = 0;
        for (const auto at : sent)
        {
            count += at >= from && at < from + 1s ? 1 : 0;
        }
        most = std::max(most, count);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_paces)

// Pattern: a zone's workers come back cold together and every daemon has
// requests for them. Stated bound: 1.5 times the rate and 5 more.
BOOST_AUTO_TEST_CASE(all_daemons_together_keep_the_rate)
{
    const double rate = 7.2;
    const auto names = daemon_names(11);
    const auto most = most_in_a_second(names, names, rate);
    BOOST_TEST(most <= rate * 1.5 + 5);
    BOOST_TEST(most >= 3);
}

BOOST_AUTO_TEST_CASE(a_large_fleet_keeps_the_rate)
{
    const double rate = 4.2;
    const auto names = daemon_names(72);
    BOOST_TEST(most_in_a_second(names, names, rate) <= rate * 1.5 + 5);
}

// Pattern: a cut fleet, in which each daemon knows only itself.
BOOST_AUTO_TEST_CASE(daemons_that_know_nobody_keep_the_rate)
{
    const double rate = 7.2;
    const auto names = daemon_names(11);
    std::vector<cold_worker_limiter> paces(names.size());
    int sent = 0;
    const instant begin{1h};
    for (auto now = begin; now < begin + 1s; now += 5ms)
    {
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            const std::vector<std::string> alone{names[i]};
            sent += paces[i].try_acquire(
                        "worker-7", rate, names[i], alone, true, now)
                        ? 1
                        : 0;
        }
    }
    BOOST_TEST(sent <= rate * 1.5 + 5);
}

// Pattern: a fleet of 72 lost power and starts at once beside a cold worker;
// each daemon finds the others one by one. Stated bound: 1.5 times the rate
// and 8 more.
BOOST_AUTO_TEST_CASE(a_fleet_that_starts_at_once_keeps_the_rate)
{
    const double rate = 3.3;
    const auto names = daemon_names(72);
    std::vector<cold_worker_limiter> paces(names.size());
    const instant begin{1h};
    const auto settle_time =
        waxwingvalve::decision::steering::fleet_members::settle_time;
    int in_second = 0;
    for (auto now = begin; now < begin + 8s; now += 5ms)
    {
        if ((now - begin) % 1s == 0s)
        {
            in_second = 0;
        }
        const std::chrono::duration<double> up{now - begin};
        const double part = std::min(1.0, up.count() / 2.5);
        const auto known = static_cast<std::ptrdiff_t>(1 + part * 71);
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            auto seen = names;
            std::rotate(
                seen.begin(),
                seen.begin() + static_cast<std::ptrdiff_t>(i),
                seen.end());
            seen.resize(static_cast<std::size_t>(known));
            const bool settled = now - begin >= settle_time;
            in_second += paces[i].try_acquire(
                             "worker-7", rate, names[i], seen, settled, now)
                             ? 1
                             : 0;
        }
        BOOST_TEST(in_second <= rate * 1.5 + 8);
    }
    BOOST_TEST(in_second > 0);
}

// Pattern: 72 daemons that know nobody, each with its first request.
BOOST_AUTO_TEST_CASE(first_requests_wait_until_the_fleet_is_known)
{
    const auto names = daemon_names(72);
    for (const auto& name : names)
    {
        cold_worker_limiter pace;
        const std::vector<std::string> alone{name};
        BOOST_TEST(!pace.try_acquire(
            "worker-7", 3.3, name, alone, false, instant{1h}));
    }
}

BOOST_AUTO_TEST_CASE(no_rate_means_no_requests)
{
    cold_worker_limiter pace;
    const auto names = daemon_names(1);
    BOOST_TEST(
        !pace.try_acquire("worker-7", 0.0, names[0], names, true, instant{1h}));
}

BOOST_AUTO_TEST_SUITE_END()
