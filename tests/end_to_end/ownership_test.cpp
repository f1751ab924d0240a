// Who dispatches to the workers of a zone when its daemons are killed,
// frozen, stopped and restarted, as separate processes.
#include <chrono>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "base/time.hpp"
#include "harness/cluster.hpp"

using namespace waxwingvalve;
using std::chrono::seconds;

namespace
{

harness::layout one_zone()
{
    return {
        .name = "one-zone",
        .zones = {{"isan", "isan-a", 2}},
        .services = {{"hire-desk", 6, 6, "/bookings"}},
        .zone_delay_us = 3000,
        .region_delay_us = 20000};
}

struct running_zone
{
    running_zone()
    {
        cluster.start_platform();
        cluster.start_upstreams();
        cluster.start_daemons();
        BOOST_REQUIRE(cluster.accept_layout());
        // Addresses differ from run to run, and with them who owns how many.
        swapped_ =
            owned(cluster.entries().front()) < owned(cluster.entries().back());
    }

    // The daemon that owns more of the workers.
    const harness::entry_vm& first()
    {
        return cluster.entries().at(swapped_ ? 1 : 0);
    }
    const harness::entry_vm& second()
    {
        return cluster.entries().at(swapped_ ? 0 : 1);
    }

    std::size_t owned(const harness::entry_vm& entry)
    {
        return cluster.owned_workers(entry);
    }

    // The daemon logged that it gave a worker up.
    bool dropped(const harness::entry_vm& entry)
    {
        std::ifstream log{cluster.log_of(entry.name)};
        const std::string text{
            std::istreambuf_iterator<char>{log},
            std::istreambuf_iterator<char>{}};
        return text.find("chosen=dropped") != std::string::npos;
    }

    net::exchange_result look_up(const harness::entry_vm& entry)
    {
        return cluster.call(
            entry.caller_address,
            {.method = "GET",
             .target = "/bulls/7",
             .fields = {{"Waxwing-Service", "hire-desk"}}});
    }

    // True for a whole answer; anything else has to be an honest refusal.
    bool served(const harness::entry_vm& entry)
    {
        const auto answer = look_up(entry);
        BOOST_REQUIRE(answer.has_value());
        const auto outcome =
            net::find_field(answer.value().fields, "Waxwing-Outcome");
        BOOST_TEST((answer.value().status == 200U || outcome == "not-run"));
        return answer.value().status == 200U;
    }

    std::size_t runs()
    {
        std::size_t out = 0;
        for (const auto& one : cluster.workers())
        {
            const auto said = cluster.get_json(one.address, "/control");
            out += said.at("runs").as_array().size();
        }
        return out;
    }

    void list_vms(const std::vector<harness::entry_vm>& entries)
    {
        boost::json::array vms;
        for (const auto& one : entries)
        {
            vms.push_back(
                {{"name", one.name},
                 {"address", one.caller_address.address},
                 {"zone", one.zone},
                 {"role", "entry"},
                 {"state", "live"}});
        }
        cluster.set_faults(
            cluster.platform(),
            boost::json::serialize(boost::json::object{{"vms", vms}}));
    }

    bool over_slots()
    {
        for (const auto& one : cluster.workers())
        {
            const auto said = cluster.get_json(one.address, "/control");
            if (said.at("highest_running").to_number<std::uint32_t>() >
                    one.slots ||
                said.at("refused_over_slots").to_number<std::uint64_t>() > 0)
            {
                return true;
            }
        }
        return false;
    }

    void print_time(const char* what, base::instant since)
    {
        BOOST_TEST_MESSAGE(
            what << ": "
                 << base::to_milliseconds(base::monotonic_clock::now() - since)
                 << " ms");
    }

    harness::cluster cluster{one_zone()};

private:
    bool swapped_{};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ownership, running_zone)

BOOST_AUTO_TEST_CASE(each_worker_has_one_owner_at_the_start)
{
    BOOST_TEST(owned(first()) + owned(second()) == cluster.workers().size());
    BOOST_TEST(look_up(first()).value().status == 200U);
}

BOOST_AUTO_TEST_CASE(a_killed_daemons_workers_get_a_new_owner)
{
    const auto lost = owned(first());
    const auto began = base::monotonic_clock::now();
    cluster.daemon(first().name).kill();
    BOOST_REQUIRE(harness::wait_until(
        [&] { return owned(second()) == cluster.workers().size(); }));
    BOOST_TEST_MESSAGE("workers of the killed daemon: " << lost);
    print_time("idle after a kill", began);
    BOOST_TEST(!over_slots());

    // Restarted under its name, it gets its workers back by hand-over.
    cluster.start_daemon(first().name);
    BOOST_REQUIRE(harness::wait_until([&] { return owned(first()) == lost; }));
    BOOST_REQUIRE(harness::wait_until(
        [&] { return cluster.owned_workers() == cluster.workers().size(); }));
    BOOST_TEST(!over_slots());
}

BOOST_AUTO_TEST_CASE(a_frozen_daemons_workers_stay_idle)
{
    const auto kept = owned(second());
    const auto before = runs();
    // It may own no worker, and refuses until it has heard of the other's room.
    BOOST_REQUIRE(
        harness::wait_until([&] { return served(second()); }, seconds{2}));
    cluster.daemon(first().name).freeze();
    // Longer than any timeout of membership, shorter than the tenure.
    const auto moved = harness::wait_until(
        [&] { return owned(second()) != kept; }, seconds{10});
    BOOST_TEST(!moved);
    BOOST_TEST(runs() >= before + 1);

    const auto began = base::monotonic_clock::now();
    cluster.daemon(first().name).thaw();
    // Its status page may answer before it noticed the pause.
    BOOST_REQUIRE(harness::wait_until([&] { return dropped(first()); }));
    BOOST_REQUIRE(harness::wait_until(
        [&] { return cluster.owned_workers() == cluster.workers().size(); }));
    print_time("idle after a thaw", began);
    BOOST_TEST(!over_slots());
}

BOOST_AUTO_TEST_CASE(a_planned_stop_hands_over)
{
    const auto began = base::monotonic_clock::now();
    auto& daemon = cluster.daemon(first().name);
    daemon.terminate();
    // While it still serves on, the other daemon owns all.
    BOOST_REQUIRE(harness::wait_until(
        [&] { return owned(second()) == cluster.workers().size(); }));
    print_time("idle in a planned stop", began);
    BOOST_TEST(daemon.running());
    // Until it has heard of the other daemon's room it may refuse, honestly.
    BOOST_TEST(
        harness::wait_until([&] { return served(first()); }, seconds{2}));
    BOOST_TEST(!over_slots());
}

// What was owned before a pause proves nothing after it.
BOOST_AUTO_TEST_CASE(after_a_thaw_the_zone_is_asked_first)
{
    BOOST_REQUIRE(owned(first()) > 0);
    auto& daemon = cluster.daemon(first().name);
    daemon.freeze();
    cluster.daemon(second().name).freeze();
    harness::wait_until([] { return false; }, seconds{3});
    const auto before = runs();
    // They wait in its sockets, so that it meets them before all else.
    std::vector<std::thread> callers(8);
    for (auto& caller : callers)
    {
        caller = std::thread{[this] { static_cast<void>(look_up(first())); }};
    }
    harness::wait_until([] { return false; }, seconds{1});
    daemon.thaw();
    for (auto& caller : callers)
    {
        caller.join();
    }
    // Its zone does not answer, so it must not dispatch.
    BOOST_TEST(runs() == before);
    cluster.daemon(second().name).thaw();
    BOOST_REQUIRE(harness::wait_until(
        [&] { return cluster.owned_workers() == cluster.workers().size(); }));
    // The figures of the status page come before the serving thread's set.
    BOOST_TEST(
        harness::wait_until([&] { return served(first()); }, seconds{2}));
}

BOOST_AUTO_TEST_CASE(a_vanished_vms_workers_move_after_its_tenure)
{
    const auto all = cluster.workers().size();
    list_vms({first(), second()});
    // Both daemons have to have read the list once.
    harness::wait_until([] { return false; }, seconds{5});
    const auto kept = owned(second());
    const auto began = base::monotonic_clock::now();
    cluster.daemon(first().name).freeze();
    list_vms({second()});
    const auto moved_early = harness::wait_until(
        [&] { return owned(second()) != kept; }, seconds{20});
    BOOST_TEST(!moved_early);
    BOOST_REQUIRE(harness::wait_until(
        [&] { return owned(second()) == all; }, seconds{60}));
    BOOST_TEST_MESSAGE("workers of the vanished VM: " << all - kept);
    print_time("idle after a VM vanished", began);

    // A VM that thaws after all is granted nothing.
    cluster.daemon(first().name).thaw();
    const auto regained =
        harness::wait_until([&] { return owned(second()) != all; }, seconds{3});
    BOOST_TEST(!regained);
    BOOST_TEST(owned(first()) == 0U);
    BOOST_TEST(!over_slots());
}

BOOST_AUTO_TEST_SUITE_END()
