// Tests the request rate at a cold worker, limited by many daemons without
// coordination.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "decision/steering/cold_worker_limiter.hpp"

namespace
{

using namespace std::chrono_literals;
using waxwingvalve::base::duration;
using waxwingvalve::base::instant;
using waxwingvalve::decision::steering::cold_worker_limiter;
using waxwingvalve::decision::steering::fleet_members;
using known_member = fleet_members::known_member;

constexpr auto worker_id = "worker-7";
constexpr std::uint64_t incarnation = 7;
constexpr auto worker_region = "region-0";
const instant begin{1h};

// For how long `one` has not heard of `other` at this time; nothing if it has
// never heard of it.
using silence_function = std::function<std::optional<duration>(
    std::size_t one, std::size_t other, duration at)>;

struct scenario
{
    std::size_t daemons{};
    double rate{};
    // Beside the rate, for all daemons together.
    double slack{5};
    duration length{6s};
    silence_function silence{[](std::size_t, std::size_t, duration)
                             { return duration{}; }};
    // The list of daemons counts as complete from this time on.
    duration settled_at{};
    // It got its usual requests until it became cold.
    bool was_loaded{};
    // Begin of the cold time that the worker is in.
    std::function<duration(duration)> cold_since{[](duration)
                                                 { return duration{}; }};
    // The worker is cold, and gets requests, in these times.
    std::function<bool(duration)> cold{[](duration) { return true; }};
};

bool same_part(std::size_t one, std::size_t other, std::size_t parts)
{
    return one % parts == other % parts;
}

std::string name_of(std::size_t one)
{
    return fmt::format("daemon-{}", one);
}

std::vector<known_member> known_by(
    const scenario& what, std::size_t self, duration at)
{
    std::vector<known_member> known;
    for (std::size_t i = 0; i < what.daemons; ++i)
    {
        const auto silence = i == self ? duration{} : what.silence(self, i, at);
        if (silence)
        {
            known.push_back(
                {name_of(i), fmt::format("region-{}", i % 3), *silence});
        }
    }
    return known;
}

// Every daemon has a request for the worker each 5 ms. Returns the times of
// those that are sent.
std::vector<instant> play(const scenario& what)
{
    std::vector<cold_worker_limiter> limiters;
    std::vector<std::vector<known_member>> known(what.daemons);
    for (std::size_t i = 0; i < what.daemons; ++i)
    {
        limiters.emplace_back(i + 1);
    }
    std::vector<instant> sent;
    for (duration at{}; at < what.length; at += 5ms)
    {
        for (std::size_t i = 0; i < what.daemons; ++i)
        {
            if (at % 100ms == 0ms)
            {
                known[i] = known_by(what, i, at);
            }
            const auto name = name_of(i);
            const bool may_send =
                what.cold(at) && limiters[i].try_acquire(
                                     {.worker_id = worker_id,
                                      .worker_region = worker_region,
                                      .incarnation = incarnation,
                                      .requests_per_s = what.rate,
                                      .cold_since = begin + what.cold_since(at),
                                      .was_loaded = what.was_loaded},
                                     {.self = name,
                                      .daemons = known[i],
                                      .may_send = at >= what.settled_at,
                                      .others_expected = what.daemons > 1},
                                     begin + at);
            if (may_send)
            {
                sent.push_back(begin + at);
            }
        }
    }
    return sent;
}

long most_in_a_second(const std::vector<instant>& sent)
{
    long most = 0;
    for (const auto from : sent)
    {
        const auto count = std::ranges::count_if(
            sent, [&](instant at) { return at >= from && at < from + 1s; });
        most = std::max(most, count);
    }
    return most;
}

// FAILBACK: 1.5 times the rate and the slack in any second.
void check_bound(const scenario& what)
{
    const auto sent = play(what);
    BOOST_TEST_CONTEXT(what.daemons << " daemons, " << what.rate << "/s")
    {
        BOOST_TEST(
            static_cast<double>(most_in_a_second(sent)) <=
            1.5 * what.rate + what.slack);
    }
}

// The fleets and rates of the tests below.
const std::vector<scenario> fleets{
    {.daemons = 11, .rate = 7.2},
    {.daemons = 11, .rate = 4.2},
    {.daemons = 30, .rate = 4.0},
    {.daemons = 72, .rate = 4.2},
    {.daemons = 72, .rate = 3.3, .slack = 8},
    {.daemons = 72, .rate = 4.0, .slack = 8},
    {.daemons = 72, .rate = 7.2, .slack = 8},
    {.daemons = 195, .rate = 3.3, .slack = 10}};

void check_fleets(
    const silence_function& silence, duration length = scenario{}.length)
{
    for (auto what : fleets)
    {
        what.silence = silence;
        what.length = length;
        check_bound(what);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_worker_limiters)

// The workers of a zone restart cold together and every daemon has requests for
// them.
BOOST_AUTO_TEST_CASE(all_daemons_together_keep_the_rate_and_use_half_of_it)
{
    for (const auto& what : fleets)
    {
        check_bound(what);
        const auto sent = play(what);
        const std::chrono::duration<double> span{what.length};
        BOOST_TEST(
            static_cast<double>(sent.size()) >= 0.5 * what.rate * span.count());
        BOOST_TEST(most_in_a_second(sent) >= 3);
    }
}

// FAILBACK: daemons that stood still know nobody as live, and each drew itself
// as a sender, with a first request at once. 42 requests in a second of 72
// daemons, 14 allowed.
BOOST_AUTO_TEST_CASE(daemons_that_stood_still_keep_the_rate)
{
    check_fleets(
        [](std::size_t one, std::size_t, duration) -> std::optional<duration>
        { return one % 2 == 0 ? duration{} : duration{9s}; });
}

// FAILBACK: each region, cut off from the others, drew senders of its own.
BOOST_AUTO_TEST_CASE(regions_that_are_cut_off_from_each_other_keep_the_rate)
{
    for (const std::size_t parts : {2, 3, 6})
    {
        check_fleets(
            [parts](std::size_t one, std::size_t other, duration at)
                -> std::optional<duration>
            { return same_part(one, other, parts) ? duration{} : at; },
            15s);
    }
}

// Each daemon hears of another half of the fleet, or of a third.
BOOST_AUTO_TEST_CASE(daemons_that_disagree_on_who_lives_keep_the_rate)
{
    for (const std::size_t part : {2, 3})
    {
        check_fleets(
            [part](std::size_t one, std::size_t other, duration)
                -> std::optional<duration>
            {
                const auto heard = (one * 7 + other * 13 + one * other) % part;
                return heard == 0 ? duration{} : duration{9s};
            });
    }
}

// FAILBACK: a busy worker had got its usual requests in the second in which it
// became cold, and those of the senders came on top.
BOOST_AUTO_TEST_CASE(nothing_is_added_at_once_to_the_load_before)
{
    for (auto what : fleets)
    {
        what.was_loaded = true;
        what.length = 300ms;
        BOOST_TEST(play(what).empty());
        what.length = 6s;
        check_bound(what);
        const std::chrono::duration<double> span{what.length};
        BOOST_TEST(
            static_cast<double>(play(what).size()) >=
            0.5 * what.rate * span.count());
    }
}

// A partitioned fleet in which each daemon hears only itself.
BOOST_AUTO_TEST_CASE(isolated_daemons_keep_the_rate)
{
    check_fleets(
        [](std::size_t, std::size_t, duration) -> std::optional<duration>
        { return duration{9s}; });
}

// The same from the start on: none knows how many there are.
BOOST_AUTO_TEST_CASE(daemons_that_never_heard_of_others_keep_the_rate)
{
    for (auto what : fleets)
    {
        what.silence = [](std::size_t, std::size_t, duration)
        { return std::optional<duration>{}; };
        check_bound(what);
    }
}

// The worker becomes cold again, a while after every daemon has used its part.
BOOST_AUTO_TEST_CASE(parts_that_were_not_used_do_not_come_due_at_once)
{
    for (auto what : fleets)
    {
        what.length = 30s;
        what.silence =
            [](std::size_t, std::size_t, duration) -> std::optional<duration>
        { return duration{9s}; };
        what.cold = [](duration at) { return at < 3s || at > 27s; };
        what.cold_since = [](duration at) { return at < 3s ? 0s : 27s; };
        check_bound(what);
    }
}

// A fleet restarts at once after a power loss, beside a cold worker; each
// daemon discovers the others one by one.
BOOST_AUTO_TEST_CASE(a_starting_fleet_keeps_the_rate)
{
    for (auto what : fleets)
    {
        what.length = 8s;
        what.settled_at = fleet_members::settle_time;
        const auto daemons = what.daemons;
        what.silence = [daemons](
                           std::size_t one,
                           std::size_t other,
                           duration at) -> std::optional<duration>
        {
            const std::chrono::duration<double> uptime{at};
            const double known = std::min(1.0, uptime.count() / 2.5);
            const auto distance = (other + daemons - one) % daemons;
            if (static_cast<double>(distance) >
                known * static_cast<double>(daemons))
            {
                return std::nullopt;
            }
            return duration{};
        };
        check_bound(what);
        const auto sent = play(what);
        BOOST_REQUIRE(!sent.empty());
        BOOST_TEST((sent.back() >= begin + what.length - 1s));
    }
}

// Daemons that know no other, each with its first request.
BOOST_AUTO_TEST_CASE(no_request_is_sent_before_the_member_list_settles)
{
    for (auto what : fleets)
    {
        what.settled_at = 1h;
        BOOST_TEST(play(what).empty());
    }
}

// A daemon of a large fleet has a request for the worker now and then only.
BOOST_AUTO_TEST_CASE(a_sender_with_few_requests_sends_them)
{
    cold_worker_limiter limiter{1};
    const std::vector<known_member> alone{{name_of(0), worker_region, {}}};
    int sent = 0;
    for (auto at = 3s; at < 30s; at += 3s)
    {
        sent += limiter.try_acquire(
                    {.worker_id = worker_id,
                     .worker_region = worker_region,
                     .incarnation = incarnation,
                     .requests_per_s = 3.3,
                     .cold_since = begin},
                    {.self = alone.front().name,
                     .daemons = alone,
                     .may_send = true},
                    begin + at)
                    ? 1
                    : 0;
    }
    BOOST_TEST(sent == 9);
}

BOOST_AUTO_TEST_CASE(no_rate_means_no_requests)
{
    BOOST_TEST(play({.daemons = 1, .rate = 0}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
