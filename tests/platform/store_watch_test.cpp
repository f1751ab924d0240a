// Tests for a daemon's copy of the store, including store outages.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <ostream>

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include "net/answers.hpp"
#include "net/http_server.hpp"
#include "platform/fake_store.hpp"
#include "platform/store_watch.hpp"
#include "store/table_mirror.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

std::string make_configuration(int version)
{
    return fmt::format(
        R"({{"version":"r{}","resources":[{{"entry_type":"routes",)"
        R"("metadata":{{"name":"one"}},"spec":{{"host":"a.example",)"
        R"("prefix":"/x/","kind":"safe","timeout":"800ms","target_latency":)"
        R"("300ms","priority":2,"service":"desk","max_attempts":2}}}}]}})",
        version);
}

std::string make_worker(std::string_view state, std::int64_t born = 1)
{
    return fmt::format(
        R"({{"address":"10.0.0.9:8080","born":{},"info":{{"service":"desk",)"
        R"("version":"v1","zone":"addis-a","slots":4}},"status":{{"state":)"
        R"("{}","sequence":4,"cold_remaining":"0ms"}}}})",
        born,
        state);
}

front::steering::fleet_member make_local_member()
{
    front::steering::fleet_member member;
    member.name = "self";
    member.zone = "addis-a";
    member.region = "addis";
    return member;
}

struct store_watch_fixture
{
    store_watch_fixture()
    {
        store.put("op", "config", make_configuration(5));
        store.put("servers", "i-1", make_worker("ready"));
        watch.start();
    }

    bool wait_until(
        const std::function<bool()>& condition,
        std::chrono::milliseconds timeout)
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (!condition() && std::chrono::steady_clock::now() < deadline)
        {
            loop.run_for(5ms);
        }
        return condition();
    }

    bool wait_until_loaded()
    {
        return wait_until([this] { return watch.loaded(); }, 1s);
    }

    bool has_worker(const std::string& id) const
    {
        return view.workers().find(id) != nullptr;
    }

    boost::asio::io_context loop;
    fake_store store{loop};
    front::fleet_view view{{}, make_local_member(), {{"addis-a", "addis"}}, 1};
    front::request_metrics metrics;
    platform::store_watch watch{loop, store.address(), view, metrics};
};

struct failing_store
{
    std::string_view description;
    store_fault fault;
};

std::ostream& operator<<(std::ostream& stream, const failing_store& test_case)
{
    return stream << test_case.description;
}

constexpr std::array failing_stores{
    failing_store{"unavailable", store_fault::unavailable},
    failing_store{"too many requests", store_fault::too_many_requests},
    failing_store{"connection closed", store_fault::connection_closed},
    failing_store{"no response", store_fault::no_response},
    failing_store{"invalid JSON", store_fault::invalid_json}};

} // namespace

BOOST_AUTO_TEST_SUITE(store_watches)

BOOST_AUTO_TEST_CASE(configuration_and_workers_are_loaded_at_startup)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    BOOST_TEST(fixture.view.configuration().version == 5U);
    BOOST_TEST(fixture.has_worker("i-1"));
}

// The specified limit is 2.5 s, both for a new configuration and for a worker
// that leaves.
BOOST_AUTO_TEST_CASE(changes_arrive_within_time_limits)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.put("op", "config", make_configuration(7));
    fixture.store.put("servers", "i-1", make_worker("draining"));
    BOOST_TEST(fixture.wait_until(
        [&]
        {
            const auto worker = fixture.view.workers().find("i-1");
            return fixture.view.configuration().version == 7 && worker &&
                   worker->entry().draining;
        },
        2500ms));
    fixture.store.remove("servers", "i-1");
    BOOST_TEST(
        fixture.wait_until([&] { return !fixture.has_worker("i-1"); }, 2500ms));
}

BOOST_AUTO_TEST_CASE(older_configuration_is_ignored)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.put("op", "config", make_configuration(3));
    fixture.store.put("op", "evacuate/addis-a", "{}");
    BOOST_REQUIRE(fixture.wait_until(
        [&] { return fixture.view.evacuated_zones().contains("addis-a"); },
        2500ms));
    BOOST_TEST(fixture.view.configuration().version == 5U);
    fixture.store.remove("op", "evacuate/addis-a");
    BOOST_TEST(fixture.wait_until(
        [&] { return fixture.view.evacuated_zones().empty(); }, 2500ms));
}

BOOST_DATA_TEST_CASE(known_state_survives_store_outage, failing_stores)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.set_fault(sample.fault);
    fixture.wait_until([] { return false; }, 1500ms);
    BOOST_TEST(fixture.view.configuration().version == 5U);
    BOOST_TEST(fixture.has_worker("i-1"));
    BOOST_TEST(fixture.metrics.store_failures > 0U);
    fixture.store.set_fault(store_fault::none);
    fixture.store.put("op", "config", make_configuration(9));
    BOOST_TEST(fixture.wait_until(
        [&] { return fixture.view.configuration().version == 9; }, 2500ms));
}

BOOST_AUTO_TEST_CASE(lost_change_history_triggers_full_read)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.set_fault(store_fault::history_gone);
    fixture.store.put("op", "config", make_configuration(9));
    fixture.store.remove("servers", "i-1");
    BOOST_TEST(fixture.wait_until(
        [&]
        {
            return fixture.view.configuration().version == 9 &&
                   !fixture.has_worker("i-1");
        },
        2500ms));
}

// Worker entries expire during a store outage and are written again when the
// workers reconnect. A worker must be kept for a grace period after the outage
// and dropped only if its entry does not return.
BOOST_AUTO_TEST_CASE(expired_workers_are_kept_for_grace_period)
{
    store_watch_fixture fixture;
    fixture.store.put("servers", "i-2", make_worker("ready"));
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.set_fault(store_fault::unavailable);
    fixture.wait_until([] { return false; }, 1800ms);
    fixture.store.remove("servers", "i-1");
    fixture.store.remove("servers", "i-2");
    fixture.store.set_fault(store_fault::none);
    fixture.wait_until([] { return false; }, 1200ms);
    BOOST_TEST(fixture.has_worker("i-1"));
    fixture.store.put("servers", "i-2", make_worker("ready"));
    BOOST_TEST(
        fixture.wait_until([&] { return !fixture.has_worker("i-1"); }, 4000ms));
    BOOST_TEST(fixture.has_worker("i-2"));
}

// Guards against keeping an expired worker forever when this daemon, after a
// store outage, reads from another daemon of its region instead of the store.
BOOST_AUTO_TEST_CASE(expired_workers_are_dropped_when_reading_from_peer)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.set_fault(store_fault::unavailable);
    fixture.wait_until([] { return false; }, 1800ms);
    fixture.store.remove("servers", "i-1");
    fixture.store.set_fault(store_fault::none);
    // Lets this daemon see the expired entry before it starts to read from
    // another daemon.
    fixture.wait_until([] { return false; }, 1100ms);
    BOOST_TEST(fixture.has_worker("i-1"));
    net::server_handlers handlers;
    front::fleet_view reader_view{
        {}, make_local_member(), {{"addis-a", "addis"}}, 2};
    platform::store_watch reader{
        fixture.loop, fixture.store.address(), reader_view, fixture.metrics};
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
    net::http_server relay{fixture.loop, {}, std::move(handlers)};
    boost::asio::ip::tcp::acceptor probe{
        fixture.loop, {boost::asio::ip::address_v4::loopback(), 0}};
    const base::endpoint relay_address{
        "127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    BOOST_REQUIRE(relay.listen(relay_address).has_value());
    auto reader_member = make_local_member();
    reader_member.name = "first";
    reader_member.incarnation = 1;
    reader_member.control_address = relay_address;
    front::steering::fleet_beat beat;
    beat.sender = reader_member;
    fixture.view.members.receive(beat, base::monotonic_clock::now());
    BOOST_TEST(
        fixture.wait_until([&] { return !fixture.has_worker("i-1"); }, 3000ms));
}

BOOST_AUTO_TEST_CASE(unparsable_worker_documents_are_skipped)
{
    store_watch_fixture fixture;
    fixture.store.put("servers", "i-2", "\x01");
    BOOST_REQUIRE(fixture.wait_until_loaded());
    BOOST_TEST(fixture.has_worker("i-1"));
    BOOST_TEST(!fixture.has_worker("i-2"));
}

BOOST_AUTO_TEST_CASE(relay_serves_only_recent_data)
{
    store_watch_fixture fixture;
    BOOST_TEST(!fixture.watch.relay("servers", 0));
    BOOST_REQUIRE(fixture.wait_until_loaded());
    const auto snapshot_json = fixture.watch.relay("servers", 0);
    BOOST_REQUIRE(snapshot_json);
    const auto parsed = platform::parse_rows(*snapshot_json);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().is_snapshot);
    BOOST_TEST(parsed.value().rows.size() == 1U);
    BOOST_TEST(!fixture.watch.relay("none", 0));
    fixture.store.set_fault(store_fault::unavailable);
    fixture.wait_until([] { return false; }, 2500ms);
    BOOST_TEST(!fixture.watch.relay("servers", 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(table_mirrors)

BOOST_AUTO_TEST_CASE(snapshot_reports_removed_rows)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}, {"b", "1", 3, false}}, 3);
    const auto changes =
        mirror.apply_snapshot({{"b", "1", 3, false}, {"c", "1", 5, false}}, 6);
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(mirror.rows().size() == 2U);
    const auto later_changes = mirror.changes_after(3);
    BOOST_REQUIRE(later_changes);
    BOOST_TEST(later_changes->size() == 2U);
    BOOST_TEST(later_changes->back().deleted);
}

BOOST_AUTO_TEST_CASE(older_snapshot_is_ignored)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}}, 2);
    mirror.apply_changes({{"b", "1", 4, false}}, 4);
    BOOST_TEST(mirror.apply_snapshot({{"a", "1", 2, false}}, 3).empty());
    BOOST_TEST(mirror.rows().size() == 2U);
}

BOOST_AUTO_TEST_CASE(changes_before_snapshot_are_unavailable)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}}, 10);
    BOOST_TEST(!mirror.changes_after(5));
    BOOST_TEST(mirror.changes_after(10)->empty());
}

BOOST_AUTO_TEST_CASE(repeated_deletion_is_reported_once)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}}, 2);
    BOOST_TEST(mirror.apply_changes({{"a", {}, 3, true}}, 3).size() == 1U);
    BOOST_TEST(mirror.apply_changes({{"a", {}, 3, true}}, 3).empty());
}

BOOST_AUTO_TEST_SUITE_END()
