// Tests failure detection by gossiped heartbeats, in a simulated fleet without
// a network.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "decision/steering/fleet_members.hpp"

namespace
{

using namespace std::chrono_literals;
using waxwingvalve::base::endpoint;
using waxwingvalve::base::instant;
using waxwingvalve::decision::steering::fleet_member;
using waxwingvalve::decision::steering::fleet_members;

endpoint address_of(int number)
{
    return {"10.0.0." + std::to_string(number + 1), 7000};
}

fleet_member member(int number, std::uint64_t incarnation = 1)
{
    fleet_member result;
    result.name = "daemon-" + std::to_string(number);
    result.incarnation = incarnation;
    result.peer_address = address_of(number);
    result.caller_address = address_of(number);
    result.control_address = address_of(number);
    result.zone = "addis-a";
    result.region = "addis";
    return result;
}

// Delivers the messages of the daemons directly; those in `down` neither send
// nor receive.
struct fleet
{
    explicit fleet(int count, int zones = 1)
    {
        for (int i = 0; i < count; ++i)
        {
            auto self = member(i);
            self.zone = "addis-" + std::to_string(i % zones);
            daemons.emplace_back(
                std::move(self), static_cast<std::uint64_t>(i) + 1);
            daemons.back().add_seed(address_of(0));
        }
    }

    bool all_known() const
    {
        return std::ranges::all_of(
            daemons,
            [&](const fleet_members& one)
            { return one.live_names(now).size() == daemons.size(); });
    }

    void run(std::chrono::milliseconds length)
    {
        const auto end = now + length;
        while (now < end)
        {
            now += 500ms;
            round();
        }
    }

    void round()
    {
        for (std::size_t i = 0; i < daemons.size(); ++i)
        {
            if (is_down(i))
            {
                continue;
            }
            for (const auto& message : daemons[i].next_round(now))
            {
                deliver(message);
            }
        }
    }

    void deliver(const fleet_members::message& message)
    {
        for (std::size_t i = 0; i < daemons.size(); ++i)
        {
            if (is_down(i) || address_of(static_cast<int>(i)) != message.to)
            {
                continue;
            }
            cross_zone_messages +=
                daemons[i].self().zone != message.beat.sender.zone ? 1 : 0;
            for (const auto& reply :
                 daemons[i].receive(message.beat, now).replies)
            {
                deliver(reply);
            }
        }
    }

    bool is_down(std::size_t number) const
    {
        return std::ranges::find(down, number) != down.end();
    }

    bool knows_live(std::size_t observer, int subject) const
    {
        const auto names = daemons[observer].live_names(now);
        const auto name = "daemon-" + std::to_string(subject);
        return std::ranges::find(names, name) != names.end();
    }

    std::vector<fleet_members> daemons;
    std::vector<std::size_t> down;
    int cross_zone_messages{0};
    instant now{1h};
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_members_tests)

BOOST_AUTO_TEST_CASE(daemons_with_a_common_seed_discover_each_other)
{
    fleet cluster{11};
    cluster.run(5s);
    for (const auto& daemon : cluster.daemons)
    {
        BOOST_TEST(daemon.live_names(cluster.now).size() == 11U);
    }
}

// After a start of all, small groups knew only one another for two seconds:
// several daemons took themselves for the owner of one account.
BOOST_DATA_TEST_CASE(
    daemons_that_start_together_know_all_within_a_second,
    boost::unit_test::data::make({11, 24, 61, 240}))
{
    fleet cluster{sample, 6};
    cluster.run(1s);
    BOOST_TEST(cluster.all_known());
}

// A daemon that knows all others is not told of them again and again.
BOOST_AUTO_TEST_CASE(a_complete_list_is_not_sent_again)
{
    fleet_members known{member(0), 1};
    fleet_members young{member(1), 2};
    young.add_seed(address_of(0));
    const instant now{1h};
    for (int round = 0; round < 4; ++round)
    {
        for (const auto& message : young.next_round(now + round * 500ms))
        {
            const auto replies =
                known.receive(message.beat, now + round * 500ms).replies;
            BOOST_TEST(replies.empty() == (round > 0));
            for (const auto& reply : replies)
            {
                young.receive(reply.beat, now + round * 500ms);
            }
        }
    }
}

// Limit: a stopped daemon is not listed as live 7 s later.
BOOST_AUTO_TEST_CASE(a_silent_daemon_is_not_live_after_seven_seconds)
{
    fleet cluster{11};
    cluster.run(5s);
    cluster.down.push_back(4);
    cluster.run(7s);
    for (std::size_t i = 0; i < cluster.daemons.size(); ++i)
    {
        BOOST_TEST((i == 4 || !cluster.knows_live(i, 4)));
    }
}

BOOST_AUTO_TEST_CASE(live_daemons_stay_listed)
{
    fleet cluster{72};
    cluster.run(10s);
    for (int step = 0; step < 60; ++step)
    {
        cluster.run(500ms);
        for (const auto& daemon : cluster.daemons)
        {
            BOOST_TEST(daemon.live_names(cluster.now).size() >= 71U);
        }
    }
}

// Nine zones of eight daemons. Traffic between zones is expensive, so few
// messages leave a zone. Live daemons must stay listed nonetheless, and a
// stopped one must not be listed 7 s later.
BOOST_AUTO_TEST_CASE(few_cross_zone_messages_suffice_for_a_large_fleet)
{
    fleet cluster{72};
    for (std::size_t i = 0; i < 72; ++i)
    {
        auto self = member(static_cast<int>(i));
        self.zone = "zone-" + std::to_string(i / 8);
        cluster.daemons[i] = fleet_members{self, i + 1};
        cluster.daemons[i].add_seed(address_of(0));
        cluster.daemons[i].add_seed(address_of(30));
    }
    cluster.run(8s);
    cluster.cross_zone_messages = 0;
    for (int step = 0; step < 60; ++step)
    {
        cluster.run(500ms);
        for (const auto& daemon : cluster.daemons)
        {
            BOOST_TEST(daemon.live_names(cluster.now).size() == 72U);
        }
    }
    BOOST_TEST(cluster.cross_zone_messages < 60 * 9 * 6);
    cluster.down.push_back(41);
    cluster.run(7s);
    for (std::size_t i = 0; i < cluster.daemons.size(); ++i)
    {
        BOOST_TEST((i == 41 || !cluster.knows_live(i, 41)));
    }
}

BOOST_AUTO_TEST_CASE(a_restarted_daemon_is_live_again)
{
    fleet cluster{5};
    cluster.run(5s);
    cluster.down.push_back(2);
    cluster.run(8s);
    cluster.down.clear();
    cluster.daemons[2] = fleet_members{member(2, 2), 99};
    cluster.daemons[2].add_seed(address_of(0));
    cluster.run(5s);
    BOOST_TEST(cluster.knows_live(1, 2));
    BOOST_TEST(cluster.knows_live(2, 1));
}

// A daemon starts in a running fleet. The reply to its first message to a seed
// lists the live daemons, so that it need not wait until another daemon selects
// it.
BOOST_AUTO_TEST_CASE(a_joining_daemon_learns_all_members_at_once)
{
    fleet cluster{11};
    cluster.down.push_back(7);
    cluster.run(5s);
    cluster.down.clear();
    for (const auto& message : cluster.daemons[7].next_round(cluster.now))
    {
        cluster.deliver(message);
    }
    BOOST_TEST(cluster.daemons[7].live_names(cluster.now).size() == 11U);
}

BOOST_AUTO_TEST_CASE(a_leaving_daemon_is_marked_as_leaving)
{
    fleet cluster{5};
    cluster.run(5s);
    cluster.daemons[3].set_leaving();
    cluster.run(2s);
    for (const auto& daemon : cluster.daemons[1].live(cluster.now))
    {
        BOOST_TEST(daemon.leaving == (daemon.name == "daemon-3"));
    }
}

// Urgent news reach every daemon in two steps: those of the own zone, and two
// of each other zone, which pass it on.
BOOST_AUTO_TEST_CASE(urgent_news_go_to_the_own_zone_and_two_of_each_other)
{
    constexpr int zone_count = 4;
    auto self = member(0);
    self.zone = "zone-0";
    fleet_members subject{self, 1};
    for (int i = 1; i < 40; ++i)
    {
        auto other = member(i);
        other.zone = "zone-" + std::to_string(i % zone_count);
        other.heartbeat = 1;
        subject.receive({.sender = other}, instant{1h});
    }
    BOOST_TEST(subject.zone_receivers(instant{1h}).size() == 9U);
    const auto others = subject.other_zones_receivers(instant{1h});
    BOOST_TEST(others.size() == (zone_count - 1) * fleet_members::news_fanout);
    // Nobody who is silent is told.
    const auto later = instant{1h} + fleet_members::liveness_timeout + 1s;
    BOOST_TEST(subject.zone_receivers(later).empty());
    BOOST_TEST(subject.other_zones_receivers(later).empty());
}

BOOST_AUTO_TEST_SUITE_END()
