// A daemon's copy of the store, through the store's failures.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <ostream>

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include "net/answers.hpp"
#include "net/http_server.hpp"
#include "platform/store_stand_in.hpp"
#include "platform/store_watch.hpp"
#include "store/table_mirror.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

std::string configuration(int version)
{
    return fmt::format(
        R"({{"version":"r{}","resources":[{{"entry_type":"routes",)"
        R"("metadata":{{"name":"one"}},"spec":{{"host":"a.example",)"
        R"("prefix":"/x/","kind":"safe","timeout":"800ms","target_latency":)"
        R"("300ms","priority":2,"service":"desk","max_attempts":2}}}}]}})",
        version);
}

std::string worker(std::string_view state, std::int64_t born = 1)
{
    return fmt::format(
        R"({{"address":"10.0.0.9:8080","born":{},"info":{{"service":"desk",)"
        R"("version":"v1","zone":"addis-a","slots":4}},"status":{{"state":)"
        R"("{}","sequence":4,"cold_remaining":"0ms"}}}})",
        born,
        state);
}

front::steering::fleet_member self()
{
    front::steering::fleet_member out;
    out.name = "self";
    out.zone = "addis-a";
    out.region = "addis";
    return out;
}

struct watched_store
{
    watched_store()
    {
        store.put("op", "config", configuration(5));
        store.put("servers", "i-1", worker("ready"));
        watch.start();
    }

    bool wait_until(
        const std::function<bool()>& done, std::chrono::milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            loop.run_for(5ms);
        }
        return done();
    }

    bool load()
    {
        return wait_until([this] { return watch.loaded(); }, 1s);
    }

    bool knows(const std::string& id) const
    {
        return view.workers().find(id) != nullptr;
    }

    boost::asio::io_context loop;
    store_stand_in store{loop};
    front::fleet_view view{{}, self(), {{"addis-a", "addis"}}, 1};
    front::request_metrics counts;
    platform::store_watch watch{loop, store.address(), view, counts};
};

struct failing_store
{
    std::string_view what;
    store_fault fault;
};

std::ostream& operator<<(std::ostream& out, const failing_store& one)
{
    return out << one.what;
}

constexpr std::array failing_stores{
    failing_store{"busy", store_fault::busy},
    failing_store{"too many calls", store_fault::too_many},
    failing_store{"answers lost", store_fault::answer_lost},
    failing_store{"silent", store_fault::silent},
    failing_store{"unreadable", store_fault::unreadable}};

} // namespace

BOOST_AUTO_TEST_SUITE(store_watches)

BOOST_AUTO_TEST_CASE(configuration_and_workers_are_read_at_the_start)
{
    watched_store scene;
    BOOST_REQUIRE(scene.load());
    BOOST_TEST(scene.view.configuration().version == 5U);
    BOOST_TEST(scene.knows("i-1"));
}

// Stated bounds: 2.5 s for a configuration and for a worker that leaves.
BOOST_AUTO_TEST_CASE(changes_arrive_within_their_bounds)
{
    watched_store scene;
    BOOST_REQUIRE(scene.load());
    scene.store.put("op", "config", configuration(7));
    scene.store.put("servers", "i-1", worker("draining"));
    BOOST_TEST(scene.wait_until(
        [&]
        {
            const auto known = scene.view.workers().find("i-1");
            return scene.view.configuration().version == 7 && known &&
                   known->entry().draining;
        },
        2500ms));
    scene.store.remove("servers", "i-1");
    BOOST_TEST(scene.wait_until([&] { return !scene.knows("i-1"); }, 2500ms));
}

BOOST_AUTO_TEST_CASE(an_older_configuration_changes_nothing)
{
    watched_store scene;
    BOOST_REQUIRE(scene.load());
    scene.store.put("op", "config", configuration(3));
    scene.store.put("op", "evacuate/addis-a", "{}");
    BOOST_REQUIRE(scene.wait_until(
        [&] { return scene.view.evacuated_zones().contains("addis-a"); },
        2500ms));
    BOOST_TEST(scene.view.configuration().version == 5U);
    scene.store.remove("op", "evacuate/addis-a");
    BOOST_TEST(scene.wait_until(
        [&] { return scene.view.evacuated_zones().empty(); }, 2500ms));
}

BOOST_DATA_TEST_CASE(what_is_known_outlives_an_outage, failing_stores)
{
    watched_store scene;
    BOOST_REQUIRE(scene.load());
    scene.store.set_fault(sample.fault);
    scene.wait_until([] { return false; }, 1500ms);
    BOOST_TEST(scene.view.configuration().version == 5U);
    BOOST_TEST(scene.knows("i-1"));
    BOOST_TEST(scene.counts.store_failures > 0U);
    scene.store.set_fault(store_fault::none);
    scene.store.put("op", "config", configuration(9));
    BOOST_TEST(scene.wait_until(
        [&] { return scene.view.configuration().version == 9; }, 2500ms));
}

BOOST_AUTO_TEST_CASE(a_lost_history_is_made_good_by_reading_whole)
{
    watched_store scene;
    BOOST_REQUIRE(scene.load());
    scene.store.set_fault(store_fault::history_gone);
    scene.store.put("op", "config", configuration(9));
    scene.store.remove("servers", "i-1");
    BOOST_TEST(scene.wait_until(
        [&] {
            return scene.view.configuration().version == 9 &&
                   !scene.knows("i-1");
        },
        2500ms));
}

// Entries lapse while the store is away and come back when their workers
// reach it again; one that does not come back is gone.
BOOST_AUTO_TEST_CASE(lapsed_entries_have_time_to_come_back)
{
    watched_store scene;
    scene.store.put("servers", "i-2", worker("ready"));
    BOOST_REQUIRE(scene.load());
    scene.store.set_fault(store_fault::busy);
    scene.wait_until([] { return false; }, 1800ms);
    scene.store.remove("servers", "i-1");
    scene.store.remove("servers", "i-2");
    scene.store.set_fault(store_fault::none);
    scene.wait_until([] { return false; }, 1200ms);
    BOOST_TEST(scene.knows("i-1"));
    scene.store.put("servers", "i-2", worker("ready"));
    BOOST_TEST(scene.wait_until([&] { return !scene.knows("i-1"); }, 4000ms));
    BOOST_TEST(scene.knows("i-2"));
}

// The same where this daemon reads from another one of its region after the
// store is back: found on a day on which it kept such a worker for good.
BOOST_AUTO_TEST_CASE(a_daemon_that_reads_from_another_drops_lapsed_entries_too)
{
    watched_store scene;
    BOOST_REQUIRE(scene.load());
    scene.store.set_fault(store_fault::busy);
    scene.wait_until([] { return false; }, 1800ms);
    scene.store.remove("servers", "i-1");
    scene.store.set_fault(store_fault::none);
    // The entry is read as lapsed; from now on another daemon is the reader.
    scene.wait_until([] { return false; }, 1100ms);
    BOOST_TEST(scene.knows("i-1"));
    net::server_handlers handlers;
    front::fleet_view reader_view{{}, self(), {{"addis-a", "addis"}}, 2};
    platform::store_watch reader{
        scene.loop, scene.store.address(), reader_view, scene.counts};
    reader.start();
    handlers.fast = [&](const net::http_request& request)
        -> std::optional<net::http_response>
    {
        const auto table = net::query_value(request.target, "table");
        auto rows = reader.relay(*table, 0);
        return rows ? net::make_json(*rows) : net::http_response{503, {}, {}};
    };
    handlers.refuse = [](const base::error& reason)
    { return net::make_refusal(reason, net::outcome::not_run); };
    net::http_server relay{scene.loop, {}, std::move(handlers)};
    boost::asio::ip::tcp::acceptor probe{
        scene.loop, {boost::asio::ip::address_v4::loopback(), 0}};
    const base::endpoint where{"127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    BOOST_REQUIRE(relay.listen(where).has_value());
    auto other = self();
    other.name = "first";
    other.incarnation = 1;
    other.control_address = where;
    front::steering::fleet_beat beat;
    beat.sender = other;
    scene.view.members.receive(beat, base::monotonic_clock::now());
    BOOST_TEST(scene.wait_until([&] { return !scene.knows("i-1"); }, 3000ms));
}

BOOST_AUTO_TEST_CASE(an_entry_that_cannot_be_read_names_no_worker)
{
    watched_store scene;
    scene.store.put("servers", "i-2", "\x01");
    BOOST_REQUIRE(scene.load());
    BOOST_TEST(scene.knows("i-1"));
    BOOST_TEST(!scene.knows("i-2"));
}

BOOST_AUTO_TEST_CASE(a_copy_is_passed_on_only_while_it_is_new)
{
    watched_store scene;
    BOOST_TEST(!scene.watch.relay("servers", 0));
    BOOST_REQUIRE(scene.load());
    const auto whole = scene.watch.relay("servers", 0);
    BOOST_REQUIRE(whole);
    const auto read = platform::parse_rows(*whole);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().whole);
    BOOST_TEST(read.value().rows.size() == 1U);
    BOOST_TEST(!scene.watch.relay("none", 0));
    scene.store.set_fault(store_fault::busy);
    scene.wait_until([] { return false; }, 2500ms);
    BOOST_TEST(!scene.watch.relay("servers", 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(table_mirrors)

BOOST_AUTO_TEST_CASE(a_snapshot_tells_what_went)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}, {"b", "1", 3, false}}, 3);
    const auto changes =
        mirror.apply_snapshot({{"b", "1", 3, false}, {"c", "1", 5, false}}, 6);
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(mirror.rows().size() == 2U);
    const auto since = mirror.changes_after(3);
    BOOST_REQUIRE(since);
    BOOST_TEST(since->size() == 2U);
    BOOST_TEST(since->back().deleted);
}

BOOST_AUTO_TEST_CASE(an_older_snapshot_undoes_nothing)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}}, 2);
    mirror.apply_changes({{"b", "1", 4, false}}, 4);
    BOOST_TEST(mirror.apply_snapshot({{"a", "1", 2, false}}, 3).empty());
    BOOST_TEST(mirror.rows().size() == 2U);
}

BOOST_AUTO_TEST_CASE(changes_from_before_the_copy_are_not_known)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}}, 10);
    BOOST_TEST(!mirror.changes_after(5));
    BOOST_TEST(mirror.changes_after(10)->empty());
}

BOOST_AUTO_TEST_CASE(a_deletion_that_comes_twice_is_told_once)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}}, 2);
    BOOST_TEST(mirror.apply_changes({{"a", {}, 3, true}}, 3).size() == 1U);
    BOOST_TEST(mirror.apply_changes({{"a", {}, 3, true}}, 3).empty());
}

BOOST_AUTO_TEST_SUITE_END()
