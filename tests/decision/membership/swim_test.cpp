// A few daemons over a network of messages that are delivered at once.
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

constexpr milliseconds step{100};

member_report report_of(int number, std::uint64_t incarnation)
{
    member_report out;
    out.name = fmt::format("vm-{}", number);
    out.region = "addis";
    out.zone = number < 4 ? "addis-a" : "addis-b";
    out.caller_address = {fmt::format("127.0.0.{}", number), 8080};
    out.peer_address = {fmt::format("127.0.0.{}", number), 8081};
    out.incarnation = incarnation;
    return out;
}

struct small_network
{
    explicit small_network(int members)
    {
        for (int number = 1; number <= members; ++number)
        {
            start(number, 1, members);
        }
    }

    void start(int number, std::uint64_t incarnation, int members)
    {
        auto& one = nodes[fmt::format("vm-{}", number)];
        one = std::make_unique<swim>(
            report_of(number, incarnation), swim_options{}, 7U);
        for (int other = 1; other <= members; ++other)
        {
            one->add_seed(report_of(other, 0));
        }
    }

    void deliver(const std::vector<outgoing_message>& messages)
    {
        for (const auto& one : messages)
        {
            const auto to = nodes.find(one.name);
            if (to == nodes.end() || silent.contains(one.name) ||
                silent.contains(one.message.sender))
            {
                continue;
            }
            if (const auto answers = to->second->receive(one.message, now))
            {
                deliver(answers.value());
            }
        }
    }

    void run(std::chrono::seconds time)
    {
        for (const auto end = now + time; now < end; now += step)
        {
            for (auto& [name, one] : nodes)
            {
                deliver(one->tick(now));
            }
        }
    }

    member seen(const std::string& by, const std::string& name)
    {
        for (const auto& one : nodes.at(by)->snapshot().members)
        {
            if (one.report.name == name)
            {
                return one;
            }
        }
        return {};
    }

    base::instant now{std::chrono::hours{1}};
    std::map<std::string, std::unique_ptr<swim>> nodes;
    std::set<std::string> silent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(swim_membership)

BOOST_AUTO_TEST_CASE(every_member_hears_of_every_other)
{
    small_network net{6};
    net.run(std::chrono::seconds{20});
    for (const auto& [name, one] : net.nodes)
    {
        BOOST_TEST(one->snapshot().members.size() == 5U);
        for (const auto& other : one->snapshot().members)
        {
            BOOST_TEST((other.state == member_state::alive));
            BOOST_TEST(other.report.incarnation == 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(silence_makes_suspect_and_never_dead)
{
    small_network net{6};
    net.run(std::chrono::seconds{10});
    net.silent.insert("vm-2");
    net.run(std::chrono::seconds{120});
    BOOST_TEST((net.seen("vm-1", "vm-2").state == member_state::suspect));
    net.silent.clear();
    net.run(std::chrono::seconds{10});
    BOOST_TEST((net.seen("vm-1", "vm-2").state == member_state::alive));
}

BOOST_AUTO_TEST_CASE(a_restarted_daemon_is_not_taken_for_the_earlier_one)
{
    small_network net{6};
    net.run(std::chrono::seconds{10});
    schema::peer_message late;
    net.nodes.at("vm-2")->set_header(late);
    late.members.push_back({net.nodes.at("vm-2")->self(), 0, false});
    late.members.front().report.version += 100;
    late.sequence += 100;

    net.nodes.at("vm-1")->mark_dead("vm-2", net.now);
    BOOST_TEST((net.seen("vm-1", "vm-2").state == member_state::dead));
    // A late message of the earlier process does not bring it back.
    BOOST_TEST(net.nodes.at("vm-1")->receive(late, net.now).has_value());
    BOOST_TEST((net.seen("vm-1", "vm-2").state == member_state::dead));

    net.start(2, 2, 6);
    net.run(std::chrono::seconds{10});
    const auto seen = net.seen("vm-1", "vm-2");
    BOOST_TEST((seen.state == member_state::alive));
    BOOST_TEST(seen.report.incarnation == 2U);
    BOOST_TEST(!net.nodes.at("vm-1")->receive(late, net.now).has_value());
}

BOOST_AUTO_TEST_CASE(a_clock_that_went_back_gives_no_older_incarnation)
{
    small_network net{6};
    net.start(2, 9, 6);
    net.run(std::chrono::seconds{10});
    net.start(2, 3, 6);
    // Its first messages are outdated for those who knew it as 9; their
    // reports of it tell it so.
    net.run(std::chrono::seconds{20});
    BOOST_TEST(net.nodes.at("vm-2")->self().incarnation == 10U);
    BOOST_TEST((net.seen("vm-1", "vm-2").state == member_state::alive));
}

BOOST_AUTO_TEST_CASE(leaving_is_told_to_all)
{
    small_network net{6};
    net.run(std::chrono::seconds{10});
    auto report = net.nodes.at("vm-2")->self();
    report.leaving = true;
    net.nodes.at("vm-2")->set_self(report);
    net.run(std::chrono::seconds{10});
    BOOST_TEST((net.seen("vm-5", "vm-2").state == member_state::leaving));
}

BOOST_AUTO_TEST_SUITE_END()
