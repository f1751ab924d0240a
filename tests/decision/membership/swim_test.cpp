// Tests the membership protocol with a few daemons on a simulated network that
// delivers messages without delay.
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "decision/membership/swim.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::membership;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds tick_interval{100};

member_report make_report(int number, std::uint64_t incarnation)
{
    member_report report;
    report.name = fmt::format("vm-{}", number);
    report.region = "addis";
    report.zone = number < 4 ? "addis-a" : "addis-b";
    report.caller_address = {fmt::format("127.0.0.{}", number), 8080};
    report.peer_address = {fmt::format("127.0.0.{}", number), 8081};
    report.incarnation = incarnation;
    return report;
}

struct simulated_network
{
    explicit simulated_network(int members)
    {
        for (int number = 1; number <= members; ++number)
        {
            start(number, 1, members);
        }
    }

    void start(int number, std::uint64_t incarnation, int members)
    {
        auto& node = nodes[fmt::format("vm-{}", number)];
        node = std::make_unique<swim>(
            make_report(number, incarnation), swim_options{}, 7U);
        for (int other = 1; other <= members; ++other)
        {
            node->add_seed(make_report(other, 0));
        }
    }

    void deliver(const std::vector<outgoing_message>& messages)
    {
        for (const auto& outgoing : messages)
        {
            const auto to = nodes.find(outgoing.name);
            if (to == nodes.end() || unreachable.contains(outgoing.name) ||
                unreachable.contains(outgoing.message.sender))
            {
                continue;
            }
            if (const auto answers = to->second->receive(outgoing.message, now))
            {
                deliver(answers.value());
            }
        }
    }

    void run(std::chrono::seconds duration)
    {
        for (const auto end = now + duration; now < end; now += tick_interval)
        {
            for (auto& [name, node] : nodes)
            {
                deliver(node->tick(now));
            }
        }
    }

    member view_of(const std::string& observer, const std::string& name)
    {
        for (const auto& other : nodes.at(observer)->snapshot().members)
        {
            if (other.report.name == name)
            {
                return other;
            }
        }
        return {};
    }

    base::instant now{std::chrono::hours{1}};
    std::map<std::string, std::unique_ptr<swim>> nodes;
    std::set<std::string> unreachable;
};

} // namespace

BOOST_AUTO_TEST_SUITE(swim_membership)

BOOST_AUTO_TEST_CASE(every_member_learns_of_every_other)
{
    simulated_network network{6};
    network.run(std::chrono::seconds{20});
    for (const auto& [name, node] : network.nodes)
    {
        BOOST_TEST(node->snapshot().members.size() == 5U);
        for (const auto& other : node->snapshot().members)
        {
            BOOST_TEST((other.state == member_state::alive));
            BOOST_TEST(other.report.incarnation == 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_unreachable_member_becomes_suspect_but_never_dead)
{
    simulated_network network{6};
    network.run(std::chrono::seconds{10});
    network.unreachable.insert("vm-2");
    network.run(std::chrono::seconds{120});
    BOOST_TEST(
        (network.view_of("vm-1", "vm-2").state == member_state::suspect));
    network.unreachable.clear();
    network.run(std::chrono::seconds{10});
    BOOST_TEST((network.view_of("vm-1", "vm-2").state == member_state::alive));
}

BOOST_AUTO_TEST_CASE(a_late_message_of_an_earlier_process_does_not_revive_it)
{
    simulated_network network{6};
    network.run(std::chrono::seconds{10});
    schema::peer_message late;
    network.nodes.at("vm-2")->set_header(late);
    late.members.push_back({network.nodes.at("vm-2")->self(), 0, false});
    late.members.front().report.version += 100;
    late.sequence += 100;

    network.nodes.at("vm-1")->mark_dead("vm-2", network.now);
    BOOST_TEST((network.view_of("vm-1", "vm-2").state == member_state::dead));
    // A late message of the earlier process does not make it alive again.
    BOOST_TEST(
        network.nodes.at("vm-1")->receive(late, network.now).has_value());
    BOOST_TEST((network.view_of("vm-1", "vm-2").state == member_state::dead));

    network.start(2, 2, 6);
    network.run(std::chrono::seconds{10});
    const auto seen = network.view_of("vm-1", "vm-2");
    BOOST_TEST((seen.state == member_state::alive));
    BOOST_TEST(seen.report.incarnation == 2U);
    BOOST_TEST(
        !network.nodes.at("vm-1")->receive(late, network.now).has_value());
}

BOOST_AUTO_TEST_CASE(a_clock_set_back_does_not_lower_the_incarnation)
{
    simulated_network network{6};
    network.start(2, 9, 6);
    network.run(std::chrono::seconds{10});
    network.start(2, 3, 6);
    // Members that know incarnation 9 reject the first messages of incarnation
    // 3 as outdated. From their reports about it the daemon learns of 9.
    network.run(std::chrono::seconds{20});
    BOOST_TEST(network.nodes.at("vm-2")->self().incarnation == 10U);
    BOOST_TEST((network.view_of("vm-1", "vm-2").state == member_state::alive));
}

BOOST_AUTO_TEST_CASE(leaving_reaches_every_member)
{
    simulated_network network{6};
    network.run(std::chrono::seconds{10});
    auto report = network.nodes.at("vm-2")->self();
    report.leaving = true;
    network.nodes.at("vm-2")->set_self(report);
    network.run(std::chrono::seconds{10});
    BOOST_TEST(
        (network.view_of("vm-5", "vm-2").state == member_state::leaving));
}

BOOST_AUTO_TEST_SUITE_END()
