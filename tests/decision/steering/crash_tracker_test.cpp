// The request that ends every worker that runs it, and those that merely
// ran beside it.
#include <boost/test/unit_test.hpp>

#include "decision/steering/crash_gossip.hpp"
#include "decision/steering/crash_tracker.hpp"

namespace
{

using namespace std::chrono_literals;
using waxwingvalve::base::instant;
using waxwingvalve::decision::steering::crash_gossip;
using waxwingvalve::decision::steering::crash_tracker;

constexpr std::uint64_t fatal_request = 17;

} // namespace

BOOST_AUTO_TEST_SUITE(crashes)

BOOST_AUTO_TEST_CASE(the_third_crash_in_a_row_makes_a_request_fatal)
{
    crash_tracker evidence;
    instant now{1h};
    for (int crash = 1; crash <= 3; ++crash)
    {
        BOOST_TEST(!evidence.is_poisonous(fatal_request));
        BOOST_TEST(evidence.record_crash(fatal_request, now, now + 100ms));
        now += 1s;
    }
    BOOST_TEST(evidence.is_poisonous(fatal_request));
}

// Pattern: many workers end at once and each ran a copy of a popular lookup.
BOOST_AUTO_TEST_CASE(copies_that_ran_beside_each_other_count_once)
{
    crash_tracker evidence;
    const instant now{1h};
    BOOST_TEST(evidence.record_crash(fatal_request, now, now + 100ms));
    BOOST_TEST(!evidence.record_crash(fatal_request, now, now + 110ms));
    BOOST_TEST(!evidence.record_crash(fatal_request, now + 50ms, now + 120ms));
    BOOST_TEST(!evidence.record_crash(fatal_request, now + 60ms, now + 130ms));
    BOOST_TEST(!evidence.is_poisonous(fatal_request));
}

BOOST_AUTO_TEST_CASE(an_answer_clears_a_request)
{
    crash_tracker evidence;
    instant now{1h};
    for (int crash = 0; crash < 2; ++crash)
    {
        evidence.record_crash(fatal_request, now, now + 100ms);
        now += 1s;
    }
    evidence.record_answer(fatal_request);
    evidence.record_crash(fatal_request, now, now + 100ms);
    BOOST_TEST(!evidence.is_poisonous(fatal_request));
}

BOOST_AUTO_TEST_CASE(crashes_told_by_others_count)
{
    crash_tracker evidence;
    const instant now{1h};
    evidence.record_remote_crash(fatal_request, now);
    evidence.record_remote_crash(fatal_request, now + 1s);
    evidence.record_crash(fatal_request, now + 2s, now + 3s);
    BOOST_TEST(evidence.is_poisonous(fatal_request));
}

BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    crash_tracker evidence;
    for (std::uint64_t digest = 0; digest < 5'000; ++digest)
    {
        evidence.record_remote_crash(digest, instant{1h + 1ms * digest});
    }
    BOOST_TEST(evidence.size() <= crash_tracker::max_digests + 1);
}

BOOST_AUTO_TEST_CASE(an_event_counts_once_and_is_passed_on)
{
    crash_gossip sender{1};
    crash_gossip receiver{2};
    sender.publish(fatal_request);
    const auto first = sender.next_round();
    const auto second = sender.next_round();
    BOOST_REQUIRE(first.size() == 1);
    BOOST_REQUIRE(second.size() == 1);
    BOOST_TEST(receiver.receive(first[0]));
    BOOST_TEST(!receiver.receive(second[0]));
    BOOST_REQUIRE(receiver.next_round().size() == 1);
    BOOST_TEST(!sender.receive(first[0]));
}

BOOST_AUTO_TEST_CASE(news_are_told_for_a_few_rounds_only)
{
    crash_gossip news{1};
    news.publish(fatal_request);
    for (int round = 0; round < crash_gossip::gossip_rounds; ++round)
    {
        BOOST_TEST(news.next_round().size() == 1);
    }
    BOOST_TEST(news.next_round().empty());
}

BOOST_AUTO_TEST_SUITE_END()
