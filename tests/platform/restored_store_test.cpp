// Tests for a daemon's copy of a store that comes back from an older copy of
// itself: writes are lost and versions are given out again.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

#include "platform/store_watch_fixture.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

// The specified limit from an acknowledged change to its effect.
constexpr std::chrono::milliseconds change_limit{2'500};

void write_again(fake_store& store, int times)
{
    for (int i = 0; i < times; ++i)
    {
        store.put("status", "other", "{}");
    }
}

bool draining(const store_watch_fixture& fixture, const std::string& id)
{
    const auto worker = fixture.view.workers().find(id);
    return worker && worker->entry().draining;
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_stores)

// Guards against a change that a restored store acknowledged and that is never
// in force, because its row version is not above the one in memory.
BOOST_AUTO_TEST_CASE(change_after_the_return_is_in_force)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.keep_copy();
    for (const int version : {7, 9, 11})
    {
        fixture.store.put("op", "config", make_configuration(version));
    }
    BOOST_REQUIRE(fixture.wait_until_configured(11, change_limit));
    fixture.store.restore();
    fixture.store.put("op", "config", make_configuration(13));
    BOOST_TEST(fixture.wait_until_configured(13, change_limit));
}

// The same when the restored store has passed the version in memory by the
// time of the next read, so that the feed answers as if nothing had happened.
BOOST_AUTO_TEST_CASE(change_is_not_missed_when_versions_are_passed_again)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.keep_copy();
    fixture.store.put("op", "config", make_configuration(7));
    BOOST_REQUIRE(fixture.wait_until_configured(7, change_limit));
    fixture.store.set_fault(store_fault::unavailable);
    fixture.run_for(300ms);
    fixture.store.restore();
    fixture.store.put("op", "config", make_configuration(9));
    write_again(fixture.store, 20);
    fixture.store.set_fault(store_fault::none);
    BOOST_TEST(fixture.wait_until_configured(9, change_limit));
}

// Guards against a configuration that comes back older.
BOOST_AUTO_TEST_CASE(configuration_in_force_is_kept_until_a_newer_one)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.keep_copy();
    fixture.store.put("op", "config", make_configuration(11));
    BOOST_REQUIRE(fixture.wait_until_configured(11, change_limit));
    fixture.store.restore();
    fixture.run_for(3s);
    BOOST_TEST(fixture.view.configuration().version == 11U);
    fixture.store.put("op", "config", make_configuration(9));
    fixture.store.put("op", "config", make_configuration(11));
    fixture.run_for(1s);
    BOOST_TEST(fixture.view.configuration().version == 11U);
}

BOOST_AUTO_TEST_CASE(second_restore_is_taken_in_like_the_first)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.keep_copy();
    fixture.store.put("op", "config", make_configuration(7));
    BOOST_REQUIRE(fixture.wait_until_configured(7, change_limit));
    fixture.store.restore();
    fixture.run_for(50ms);
    fixture.store.restore();
    fixture.store.put("op", "config", make_configuration(9));
    BOOST_REQUIRE(fixture.wait_until_configured(9, change_limit));
    fixture.store.restore();
    fixture.store.put("op", "config", make_configuration(12));
    BOOST_TEST(fixture.wait_until_configured(12, change_limit));
}

// Guards against daemons that pass rows of the lost history to one another.
BOOST_AUTO_TEST_CASE(copy_of_the_era_before_is_not_passed_on)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    const auto before = fixture.watch.relay({"servers", {}});
    BOOST_REQUIRE(before);
    const auto version = platform::parse_rows(*before).value().version;
    fixture.store.keep_copy();
    write_again(fixture.store, 20);
    fixture.run_for(1s);
    fixture.store.restore();
    BOOST_TEST(fixture.wait_until(
        [&]
        {
            const auto rows = fixture.watch.relay({"servers", {1, version}});
            return rows && platform::parse_rows(*rows).value().is_snapshot &&
                   platform::parse_rows(*rows).value().era == 2U;
        },
        change_limit));
    BOOST_TEST(!fixture.watch.relay({"servers", {3, 1}}));
}

// The daemon follows another one over the restore, without a read of its own.
BOOST_AUTO_TEST_CASE(change_arrives_through_another_daemon)
{
    store_watch_fixture fixture;
    relay_daemon reader{fixture, fixture.store.address()};
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.keep_copy();
    fixture.store.put("op", "config", make_configuration(7));
    reader.announce();
    BOOST_REQUIRE(fixture.wait_until_configured(7, change_limit));
    fixture.store.restore();
    reader.announce();
    fixture.store.put("op", "config", make_configuration(9));
    BOOST_TEST(fixture.wait_until_configured(9, change_limit));
    BOOST_TEST(reader.view.configuration().version == 9U);
}

// Guards against an older configuration at a daemon that starts before the
// operator has written again what the restored store lost, whether it reads
// from the other daemon of its region or that one from it.
BOOST_DATA_TEST_CASE(
    started_daemon_learns_the_configuration_in_force,
    (std::array{"first", "zebra"}),
    other_name)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    relay_daemon other{fixture, fixture.store.address()};
    fixture.store.keep_copy();
    fixture.store.put("op", "config", make_configuration(7));
    BOOST_REQUIRE(fixture.wait_until(
        [&] { return other.view.configuration().version == 7U; },
        change_limit));
    fixture.store.restore();
    fixture.run_for(500ms);

    front::fleet_view started{
        {}, make_local_member(), {{"addis-a", "addis"}}, 3};
    platform::store_watch watch{
        fixture.loop,
        fixture.store.address(),
        started,
        fixture.metrics,
        store_watch_fixture::report_interval};
    watch.start();
    other.announce_to(started, other_name);
    BOOST_TEST(fixture.wait_until(
        [&] { return started.configuration().version == 7U; }, change_limit));
    fixture.store.put("op", "config", make_configuration(9));
    BOOST_TEST(fixture.wait_until(
        [&] { return started.configuration().version == 9U; }, change_limit));
    const auto rows = watch.relay({"op", {}, 0});
    BOOST_REQUIRE(rows);
    BOOST_TEST(
        platform::parse_rows(*rows).value().unstored_configuration.empty());
}

// Guards against requests to workers that a restored store lists as they were.
BOOST_AUTO_TEST_CASE(worker_that_has_gone_does_not_return)
{
    store_watch_fixture fixture;
    fixture.store.put("servers", "i-2", make_worker("ready"));
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.keep_copy();
    fixture.store.put("servers", "i-2", make_worker("draining", 1, 9));
    fixture.store.remove("servers", "i-1");
    BOOST_REQUIRE(fixture.wait_until(
        [&] { return !fixture.has_worker("i-1") && draining(fixture, "i-2"); },
        change_limit));
    fixture.store.restore();
    fixture.run_for(2s);
    BOOST_TEST(!fixture.has_worker("i-1"));
    BOOST_TEST(draining(fixture, "i-2"));
    fixture.store.put("servers", "i-1", make_worker("ready", 1, 11));
    BOOST_TEST(fixture.wait_until(
        [&] { return fixture.has_worker("i-1"); }, change_limit));
}

// Guards against the loss of workers whose entries the restored store lacks
// until they report again.
BOOST_AUTO_TEST_CASE(worker_missing_from_the_copy_is_kept_until_it_reports)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.keep_copy();
    fixture.store.put("servers", "i-2", make_worker("ready"));
    fixture.store.put("servers", "i-3", make_worker("ready"));
    BOOST_REQUIRE(fixture.wait_until(
        [&] { return fixture.has_worker("i-3"); }, change_limit));
    fixture.store.restore();
    fixture.run_for(1s);
    fixture.store.put("servers", "i-2", make_worker("ready"));
    BOOST_TEST(fixture.has_worker("i-2"));
    BOOST_TEST(fixture.has_worker("i-3"));
    BOOST_TEST(
        fixture.wait_until([&] { return !fixture.has_worker("i-3"); }, 4000ms));
    BOOST_TEST(fixture.has_worker("i-2"));
}

// Guards against requests to a zone whose evacuation a restored store has lost.
BOOST_AUTO_TEST_CASE(lost_evacuation_stays_in_force_until_it_is_written_again)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    const auto evacuated = [&]
    { return fixture.view.evacuated_zones().contains("addis-a"); };
    fixture.store.keep_copy();
    fixture.store.put("op", "evacuate/addis-a", "{}");
    BOOST_REQUIRE(fixture.wait_until(evacuated, change_limit));
    fixture.store.restore();
    fixture.run_for(1s);
    BOOST_TEST(evacuated());
    fixture.store.put("op", "evacuate/addis-a", "{}");
    fixture.run_for(platform::fleet_updater::order_return_time + 500ms);
    BOOST_TEST(evacuated());
    fixture.store.remove("op", "evacuate/addis-a");
    BOOST_TEST(fixture.wait_until([&] { return !evacuated(); }, change_limit));
}

BOOST_AUTO_TEST_CASE(evacuation_that_was_taken_back_returns_only_if_it_stays)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    const auto evacuated = [&]
    { return fixture.view.evacuated_zones().contains("addis-a"); };
    fixture.store.put("op", "evacuate/addis-a", "{}");
    BOOST_REQUIRE(fixture.wait_until(evacuated, change_limit));
    fixture.store.keep_copy();
    fixture.store.remove("op", "evacuate/addis-a");
    BOOST_REQUIRE(
        fixture.wait_until([&] { return !evacuated(); }, change_limit));
    fixture.store.restore();
    fixture.run_for(1500ms);
    BOOST_TEST(!evacuated());
    BOOST_TEST(fixture.wait_until(
        evacuated, platform::fleet_updater::order_return_time + change_limit));
}

// Guards against a worker that has gone and returns without a word of the
// store: nothing was read while the held-back entry outlived its time.
BOOST_AUTO_TEST_CASE(gone_worker_does_not_return_while_the_store_is_away)
{
    store_watch_fixture fixture;
    fixture.store.put("servers", "i-2", make_worker("ready"));
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.keep_copy();
    fixture.store.remove("servers", "i-1");
    BOOST_REQUIRE(fixture.wait_until(
        [&] { return !fixture.has_worker("i-1"); }, change_limit));
    fixture.store.restore();
    fixture.run_for(1s);
    BOOST_REQUIRE(!fixture.has_worker("i-1"));
    fixture.store.set_fault(store_fault::unavailable);
    fixture.run_for(8s);
    BOOST_TEST(!fixture.has_worker("i-1"));
}

// Guards against the loss of workers that a restored store lacks and that
// cannot report, as it is away again.
BOOST_AUTO_TEST_CASE(missing_worker_is_kept_while_the_store_is_away_again)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.keep_copy();
    fixture.store.put("servers", "i-2", make_worker("ready"));
    BOOST_REQUIRE(fixture.wait_until(
        [&] { return fixture.has_worker("i-2"); }, change_limit));
    fixture.store.restore();
    fixture.run_for(1s);
    fixture.store.set_fault(store_fault::unavailable);
    fixture.run_for(3s);
    BOOST_TEST(fixture.has_worker("i-2"));
}

// The same for an evacuation, which only the operator can write again.
BOOST_AUTO_TEST_CASE(lost_evacuation_stays_while_the_store_is_away_again)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    const auto evacuated = [&]
    { return fixture.view.evacuated_zones().contains("addis-a"); };
    fixture.store.keep_copy();
    fixture.store.put("op", "evacuate/addis-a", "{}");
    BOOST_REQUIRE(fixture.wait_until(evacuated, change_limit));
    fixture.store.restore();
    fixture.run_for(1s);
    fixture.store.set_fault(store_fault::unavailable);
    fixture.run_for(platform::fleet_updater::order_return_time + 1s);
    BOOST_TEST(evacuated());
}

// Guards against a worker that is removed although the store lists it: the
// removal was due before a second restore listed the worker again.
BOOST_AUTO_TEST_CASE(worker_that_a_second_restore_lists_again_is_kept)
{
    store_watch_fixture fixture;
    BOOST_REQUIRE(fixture.wait_until_loaded());
    fixture.store.keep_copy();
    fixture.store.put("servers", "i-2", make_worker("ready"));
    BOOST_REQUIRE(fixture.wait_until(
        [&] { return fixture.has_worker("i-2"); }, change_limit));
    fixture.store.restore();
    fixture.run_for(1s);
    // This copy is younger than the one before and lists the worker.
    fixture.store.restore();
    fixture.store.put("servers", "i-2", make_worker("ready"));
    fixture.run_for(3s);
    BOOST_TEST(fixture.has_worker("i-2"));
}

BOOST_AUTO_TEST_SUITE_END()
