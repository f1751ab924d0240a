// Who lives, by heartbeats passed on; on a fleet without a network.
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
    fleet_member out;
    out.name = "daemon-" + std::to_string(number);
    out.incarnation = incarnation;
    out.peer_address = address_of(number);
    out.caller_address = address_of(number);
    out.control_address = address_of(number);
    out.zone = "addis-a";
    out.region = "addis";
    return out;
}

// Daemons that hand each other their rounds; those in `down` take no part.
struct fleet
{
    explicit fleet(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            daemons.emplace_back(member(i), static_cast<std::uint64_t>(i) + 1);
            daemons.back().add_seed(address_of(0));
        }
    }

    void run(std::chrono::milliseconds time)
    {
        const auto end = now + time;
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
            between_zones +=
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

    bool knows_live(std::size_t who, int whom) const
    {
        const auto names = daemons[who].live_names(now);
        const auto name = "daemon-" + std::to_string(whom);
        return std::ranges::find(names, name) != names.end();
    }

    std::vector<fleet_members> daemons;
    std::vector<std::size_t> down;
    int between_zones{0};
    instant now{1h};
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleets)

BOOST_AUTO_TEST_CASE(daemons_that_know_one_seed_find_each_other)
{
    fleet all{11};
    all.run(5s);
    for (const auto& one : all.daemons)
    {
        BOOST_TEST(one.live_names(all.now).size() == 11U);
    }
}

// Stated bound: a daemon that is gone is not named later than 7 s after.
BOOST_AUTO_TEST_CASE(a_silent_daemon_is_not_live_after_seven_seconds)
{
    fleet all{11};
    all.run(5s);
    all.down.push_back(4);
    all.run(7s);
    for (std::size_t i = 0; i < all.daemons.size(); ++i)
    {
        BOOST_TEST((i == 4 || !all.knows_live(i, 4)));
    }
}

BOOST_AUTO_TEST_CASE(nobody_who_lives_is_taken_for_gone)
{
    fleet all{72};
    all.run(10s);
    for (int step = 0; step < 60; ++step)
    {
        all.run(500ms);
        for (const auto& one : all.daemons)
        {
            BOOST_TEST(one.live_names(all.now).size() >= 71U);
        }
    }
}

// Pattern: nine zones of eight daemons. Bytes between zones are dear, so few
// messages leave a zone; still nobody who lives is taken for gone, and one
// that is gone is not live after 7 s.
BOOST_AUTO_TEST_CASE(few_messages_between_zones_keep_a_large_fleet_known)
{
    fleet all{72};
    for (std::size_t i = 0; i < 72; ++i)
    {
        auto self = member(static_cast<int>(i));
        self.zone = "zone-" + std::to_string(i / 8);
        all.daemons[i] = fleet_members{self, i + 1};
        all.daemons[i].add_seed(address_of(0));
        all.daemons[i].add_seed(address_of(30));
    }
    all.run(8s);
    all.between_zones = 0;
    for (int step = 0; step < 60; ++step)
    {
        all.run(500ms);
        for (const auto& one : all.daemons)
        {
            BOOST_TEST(one.live_names(all.now).size() == 72U);
        }
    }
    BOOST_TEST(all.between_zones < 60 * 9 * 6);
    all.down.push_back(41);
    all.run(7s);
    for (std::size_t i = 0; i < all.daemons.size(); ++i)
    {
        BOOST_TEST((i == 41 || !all.knows_live(i, 41)));
    }
}

BOOST_AUTO_TEST_CASE(a_daemon_that_starts_again_is_live_again)
{
    fleet all{5};
    all.run(5s);
    all.down.push_back(2);
    all.run(8s);
    all.down.clear();
    all.daemons[2] = fleet_members{member(2, 2), 99};
    all.daemons[2].add_seed(address_of(0));
    all.run(5s);
    BOOST_TEST(all.knows_live(1, 2));
    BOOST_TEST(all.knows_live(2, 1));
}

// Pattern: a daemon starts in a fleet that runs. Its first message to a seed
// is answered with who lives, so that it need not wait until it is drawn.
BOOST_AUTO_TEST_CASE(a_daemon_that_joins_knows_all_at_once)
{
    fleet all{11};
    all.down.push_back(7);
    all.run(5s);
    all.down.clear();
    for (const auto& message : all.daemons[7].next_round(all.now))
    {
        all.deliver(message);
    }
    BOOST_TEST(all.daemons[7].live_names(all.now).size() == 11U);
}

BOOST_AUTO_TEST_CASE(a_leaving_daemon_says_so)
{
    fleet all{5};
    all.run(5s);
    all.daemons[3].set_leaving();
    all.run(2s);
    for (const auto& one : all.daemons[1].live(all.now))
    {
        BOOST_TEST(one.leaving == (one.name == "daemon-3"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
