// Tests that a request that crashes every worker is told apart from requests
// that merely ran at the same time.
#include <boost/test/unit_test.hpp>

#include "decision/steering/crash_gossip.hpp"
#include "decision/steering/crash_tracker.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace waxwingvalve::decision::steering;
using waxwingvalve::base::instant;

constexpr std::uint64_t suspicious_request = 17;

worker_crash crash_of(std::uint64_t worker, instant sent_at, instant ended_at)
{
    static std::uint64_t next_id{1};
    return {
        .id = next_id++,
        .digest = suspicious_request,
        .worker = worker,
        .sent_at = sent_at,
        .ended_at = ended_at};
}

// A tracker that recorded crashes of `count` workers, one after the other.
crash_tracker tracker_after_crashes(instant begin, std::uint64_t count)
{
    crash_tracker tracker;
    for (std::uint64_t worker = 1; worker <= count; ++worker)
    {
        const auto sent_at = begin + worker * 1s;
        BOOST_TEST(!tracker.is_poisonous(suspicious_request));
        BOOST_TEST(
            tracker.record_crash(crash_of(worker, sent_at, sent_at + 100ms)));
    }
    return tracker;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashes)

BOOST_AUTO_TEST_CASE(a_request_is_poisonous_after_three_crashes_in_a_row)
{
    const auto tracker = tracker_after_crashes(instant{1h}, 3);
    BOOST_TEST(tracker.is_poisonous(suspicious_request));
}

// Many workers crash at once, each running a copy of a popular request.
BOOST_AUTO_TEST_CASE(concurrent_runs_count_as_one_crash)
{
    crash_tracker tracker;
    const instant now{1h};
    BOOST_TEST(tracker.record_crash(crash_of(1, now, now + 100ms)));
    BOOST_TEST(!tracker.record_crash(crash_of(2, now, now + 110ms)));
    BOOST_TEST(!tracker.record_crash(crash_of(3, now + 50ms, now + 120ms)));
    BOOST_TEST(!tracker.record_crash(crash_of(4, now + 60ms, now + 130ms)));
    BOOST_TEST(!tracker.is_poisonous(suspicious_request));
}

// One path to a worker is cut again and again.
BOOST_AUTO_TEST_CASE(one_incarnation_of_a_worker_counts_once)
{
    crash_tracker tracker;
    for (instant now{1h}; now < instant{1h + 10s}; now += 1s)
    {
        tracker.record_crash(crash_of(1, now, now + 100ms));
    }
    BOOST_TEST(!tracker.is_poisonous(suspicious_request));
}

BOOST_AUTO_TEST_CASE(one_crash_that_five_daemons_report_counts_once)
{
    crash_tracker tracker;
    const instant now{1h};
    for (int daemon = 0; daemon < 5; ++daemon)
    {
        tracker.record_crash(crash_of(1, now, now + 100ms + 1ms * daemon));
    }
    BOOST_TEST(!tracker.is_poisonous(suspicious_request));
}

BOOST_AUTO_TEST_CASE(crashes_counted_by_other_daemons_count)
{
    crash_gossip sender{1};
    crash_gossip receiver{2};
    crash_tracker tracker;
    const instant now{1h};
    sender.publish(crash_of(1, now, now + 100ms));
    sender.publish(crash_of(2, now + 1s, now + 2s));
    for (const auto& event : sender.next_round(now + 2s).crashes)
    {
        const auto crash = receiver.receive(event, now + 2s);
        BOOST_REQUIRE(crash.has_value());
        BOOST_TEST(tracker.record_crash(*crash));
    }
    BOOST_TEST(!tracker.is_poisonous(suspicious_request));
    BOOST_TEST(tracker.record_crash(crash_of(3, now + 2s, now + 3s)));
    BOOST_TEST(tracker.is_poisonous(suspicious_request));
}

BOOST_AUTO_TEST_CASE(an_answer_clears_a_request)
{
    const instant begin{1h};
    auto tracker = tracker_after_crashes(begin, 2);
    const auto cleared = tracker.record_answer(suspicious_request, begin + 4s);
    BOOST_TEST(cleared.has_value());
    tracker.record_crash(crash_of(5, begin + 5s, begin + 6s));
    BOOST_TEST(!tracker.is_poisonous(suspicious_request));
}

// The daemon refuses the request, so it can't receive an answer itself.
BOOST_AUTO_TEST_CASE(an_answer_at_another_daemon_clears_a_refused_request)
{
    const instant begin{1h};
    auto tracker = tracker_after_crashes(begin, 3);
    tracker.record_remote_answer({1, suspicious_request, begin + 4s});
    BOOST_TEST(!tracker.is_poisonous(suspicious_request));
}

BOOST_AUTO_TEST_CASE(crashes_before_an_answer_do_not_count_when_told_after_it)
{
    const instant begin{1h};
    auto tracker = tracker_after_crashes(begin, 2);
    tracker.record_answer(suspicious_request, begin + 10s);
    BOOST_TEST(!tracker.record_crash(crash_of(7, begin + 8s, begin + 9s)));
    BOOST_TEST(tracker.record_crash(crash_of(8, begin + 11s, begin + 12s)));
}

BOOST_AUTO_TEST_CASE(an_answer_to_an_unsuspected_request_is_not_gossiped)
{
    crash_tracker tracker;
    BOOST_TEST(
        !tracker.record_answer(suspicious_request, instant{1h}).has_value());
    BOOST_TEST(tracker.size() == 0U);
}

BOOST_AUTO_TEST_CASE(the_number_of_digests_is_bounded)
{
    crash_tracker tracker;
    for (std::uint64_t digest = 0; digest < 5'000; ++digest)
    {
        const instant now{1h + 1ms * digest};
        tracker.record_crash({digest + 1, digest, 1, now, now});
    }
    BOOST_TEST(tracker.size() <= crash_tracker::max_digests + 1);
}

BOOST_AUTO_TEST_CASE(an_event_is_counted_once_and_forwarded)
{
    crash_gossip sender{1};
    crash_gossip receiver{2};
    const instant now{1h};
    sender.publish(crash_of(1, now - 2s, now - 1s));
    const auto first = sender.next_round(now).crashes;
    const auto second = sender.next_round(now + 500ms).crashes;
    BOOST_REQUIRE(first.size() == 1);
    BOOST_REQUIRE(second.size() == 1);
    BOOST_TEST(receiver.receive(first[0], now).has_value());
    BOOST_TEST(!receiver.receive(second[0], now + 500ms).has_value());
    BOOST_REQUIRE(receiver.next_round(now + 1s).crashes.size() == 1);
    BOOST_TEST(!sender.receive(first[0], now).has_value());
}

BOOST_AUTO_TEST_CASE(an_event_keeps_its_times_on_another_clock)
{
    crash_gossip sender{1};
    crash_gossip receiver{2};
    const instant sent{1h};
    const instant received{30h};
    sender.publish(crash_of(1, sent - 2s, sent - 1s));
    const auto events = sender.next_round(sent).crashes;
    BOOST_REQUIRE(events.size() == 1);
    const auto crash = receiver.receive(events[0], received);
    BOOST_REQUIRE(crash.has_value());
    BOOST_TEST(
        (crash->sent_at == received - 2s - crash_gossip::max_message_delay));
    BOOST_TEST((crash->ended_at == received - 1s));
}

BOOST_AUTO_TEST_CASE(an_event_is_gossiped_for_a_limited_number_of_rounds)
{
    crash_gossip gossip{1};
    const instant now{1h};
    gossip.publish(crash_of(1, now, now));
    for (int round = 0; round < crash_gossip::gossip_rounds; ++round)
    {
        BOOST_TEST(gossip.next_round(now).crashes.size() == 1);
    }
    BOOST_TEST(gossip.next_round(now).crashes.empty());
}

BOOST_AUTO_TEST_CASE(daemons_that_refute_one_crash_publish_one_event)
{
    const instant begin{1h};
    const auto crash = crash_of(1, begin, begin + 1s);
    crash_gossip gossip{1};
    for (int daemon = 0; daemon < 3; ++daemon)
    {
        crash_tracker tracker;
        tracker.record_crash(crash);
        const auto answer =
            tracker.record_answer(suspicious_request, begin + 2s);
        BOOST_REQUIRE(answer.has_value());
        gossip.publish(*answer);
    }
    BOOST_TEST(gossip.next_round(begin + 2s).answers.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
