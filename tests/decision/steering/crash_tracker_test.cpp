// Tests that a request that crashes every worker is told apart from requests
// that merely ran at the same time.
#include <boost/test/unit_test.hpp>

#include "decision/steering/crash_gossip.hpp"
#include "decision/steering/crash_tracker.hpp"

namespace
{

using namespace std::chrono_literals;
using waxwingvalve::base::instant;
using waxwingvalve::decision::steering::crash_gossip;
using waxwingvalve::decision::steering::crash_tracker;

constexpr std::uint64_t poisonous_request = 17;

} // namespace

BOOST_AUTO_TEST_SUITE(crashes)

BOOST_AUTO_TEST_CASE(a_request_is_poisonous_after_three_crashes_in_a_row)
{
    crash_tracker tracker;
    instant now{1h};
    for (int crash = 1; crash <= 3; ++crash)
    {
        BOOST_TEST(!tracker.is_poisonous(poisonous_request));
        BOOST_TEST(tracker.record_crash(poisonous_request, now, now + 100ms));
        now += 1s;
    }
    BOOST_TEST(tracker.is_poisonous(poisonous_request));
}

// Many workers crash at once, each running a copy of a popular request.
BOOST_AUTO_TEST_CASE(concurrent_runs_count_as_one_crash)
{
    crash_tracker tracker;
    const instant now{1h};
    BOOST_TEST(tracker.record_crash(poisonous_request, now, now + 100ms));
    BOOST_TEST(!tracker.record_crash(poisonous_request, now, now + 110ms));
    BOOST_TEST(
        !tracker.record_crash(poisonous_request, now + 50ms, now + 120ms));
    BOOST_TEST(
        !tracker.record_crash(poisonous_request, now + 60ms, now + 130ms));
    BOOST_TEST(!tracker.is_poisonous(poisonous_request));
}

BOOST_AUTO_TEST_CASE(an_answer_clears_a_request)
{
    crash_tracker tracker;
    instant now{1h};
    for (int crash = 0; crash < 2; ++crash)
    {
        tracker.record_crash(poisonous_request, now, now + 100ms);
        now += 1s;
    }
    tracker.record_answer(poisonous_request);
    tracker.record_crash(poisonous_request, now, now + 100ms);
    BOOST_TEST(!tracker.is_poisonous(poisonous_request));
}

BOOST_AUTO_TEST_CASE(crashes_counted_by_other_daemons_count)
{
    crash_tracker tracker;
    const instant now{1h};
    tracker.record_remote_crash(poisonous_request, now);
    tracker.record_remote_crash(poisonous_request, now + 1s);
    tracker.record_crash(poisonous_request, now + 2s, now + 3s);
    BOOST_TEST(tracker.is_poisonous(poisonous_request));
}

BOOST_AUTO_TEST_CASE(the_number_of_digests_is_bounded)
{
    crash_tracker tracker;
    for (std::uint64_t digest = 0; digest < 5'000; ++digest)
    {
        tracker.record_remote_crash(digest, instant{1h + 1ms * digest});
    }
    BOOST_TEST(tracker.size() <= crash_tracker::max_digests + 1);
}

BOOST_AUTO_TEST_CASE(an_event_is_counted_once_and_forwarded)
{
    crash_gossip sender{1};
    crash_gossip receiver{2};
    sender.publish(poisonous_request);
    const auto first = sender.next_round();
    const auto second = sender.next_round();
    BOOST_REQUIRE(first.size() == 1);
    BOOST_REQUIRE(second.size() == 1);
    BOOST_TEST(receiver.receive(first[0]));
    BOOST_TEST(!receiver.receive(second[0]));
    BOOST_REQUIRE(receiver.next_round().size() == 1);
    BOOST_TEST(!sender.receive(first[0]));
}

BOOST_AUTO_TEST_CASE(an_event_is_gossiped_for_a_limited_number_of_rounds)
{
    crash_gossip gossip{1};
    gossip.publish(poisonous_request);
    for (int round = 0; round < crash_gossip::gossip_rounds; ++round)
    {
        BOOST_TEST(gossip.next_round().size() == 1);
    }
    BOOST_TEST(gossip.next_round().empty());
}

BOOST_AUTO_TEST_SUITE_END()
