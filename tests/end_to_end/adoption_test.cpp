// Accepted configurations spread to every daemon and none ever goes back:
// store outages, stale reads, frozen and replaced daemons.
#include <algorithm>
#include <fstream>
#include <regex>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/records/accepted_change.hpp"
#include "decision/records/layout.hpp"
#include "harness/cluster.hpp"
#include "net/run_blocking.hpp"
#include "store/http_table_service.hpp"

using namespace waxwingvalve;

namespace
{

// The users' bound from an accept to the last daemon.
constexpr std::chrono::seconds in_force_bound{12};

std::vector<std::uint64_t> adopted_revisions(const std::filesystem::path& log)
{
    std::vector<std::uint64_t> out;
    std::ifstream file{log};
    const std::regex adopted{"event=configuration_adopted revision=(\\d+)"};
    for (std::string line; std::getline(file, line);)
    {
        std::smatch found;
        if (std::regex_search(line, found, adopted))
        {
            out.push_back(std::stoull(found[1]));
        }
    }
    return out;
}

struct running_daemons
{
    running_daemons()
    {
        cluster.start_platform();
        cluster.start_daemons();
        BOOST_REQUIRE(cluster.accept_record(zones(1)) == 1U);
        BOOST_REQUIRE(cluster.wait_for_revision(1));
    }

    ~running_daemons() { check_history(); }

    // Also over restarts of a daemon: its log is appended to.
    void check_history()
    {
        for (const auto& entry : cluster.entries())
        {
            const auto seen = adopted_revisions(cluster.log_of(entry.name));
            BOOST_TEST_CONTEXT(entry.name)
            {
                BOOST_TEST(std::ranges::is_sorted(seen));
            }
        }
    }

    // A deployment that differs from call to call.
    static std::string zones(int delay_us)
    {
        return R"({"kind": "deployment", "schema_version": 1, "name":
            "authority", "regions": [{"name": "addis", "zones":
            [{"name": "addis-a"}]}], "zone_delay_us": )" +
               std::to_string(delay_us) + "}";
    }

    void set_platform(const std::string& faults)
    {
        cluster.set_faults(cluster.platform(), faults);
    }

    std::uint64_t revision_of(const harness::entry_vm& entry)
    {
        const auto status =
            cluster.get_json(entry.operator_address, "/v1/status");
        const auto* found = status.if_contains("revision");
        return found == nullptr ? 0 : found->to_number<std::uint64_t>();
    }

    bool reaches(const harness::entry_vm& entry, std::uint64_t revision)
    {
        return harness::wait_until(
            [&] { return revision_of(entry) == revision; }, in_force_bound);
    }

    bool all_reach(std::uint64_t revision)
    {
        return harness::wait_until(
            [&]
            {
                return std::ranges::all_of(
                    cluster.entries(),
                    [&](const auto& entry)
                    { return revision_of(entry) == revision; });
            },
            in_force_bound);
    }

    void replace(const harness::entry_vm& entry)
    {
        cluster.daemon(entry.name).kill();
        cluster.daemon(entry.name).wait();
        cluster.start_daemon(entry.name);
    }

    harness::cluster cluster{harness::authority()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(adoption, running_daemons)

BOOST_AUTO_TEST_CASE(spreads_though_the_store_goes_down_after_the_accept)
{
    const auto& informed = cluster.entries().front();
    for (const auto& entry : cluster.entries())
    {
        if (entry.name != informed.name)
        {
            cluster.daemon(entry.name).freeze();
        }
    }
    BOOST_REQUIRE(cluster.accept_record(zones(2)) == 2U);
    BOOST_REQUIRE(reaches(informed, 2));
    set_platform(R"({"outage": true})");
    for (const auto& entry : cluster.entries())
    {
        if (entry.name != informed.name)
        {
            cluster.daemon(entry.name).thaw();
        }
    }
    BOOST_TEST(all_reach(2));
}

BOOST_AUTO_TEST_CASE(a_replaced_daemon_is_not_misled_by_a_stale_read)
{
    set_platform(R"({"capture": true})");
    BOOST_REQUIRE(cluster.accept_record(zones(2)) == 2U);
    BOOST_REQUIRE(all_reach(2));
    set_platform(R"({"stale_reads": 1000000, "capture": false})");
    const auto& replaced = cluster.entries().front();
    replace(replaced);
    BOOST_TEST(reaches(replaced, 2));
    BOOST_TEST(adopted_revisions(cluster.log_of(replaced.name)).back() == 2U);
}

BOOST_AUTO_TEST_CASE(a_daemon_frozen_across_two_revisions_catches_up)
{
    const auto& frozen = cluster.entries().front();
    cluster.daemon(frozen.name).freeze();
    BOOST_REQUIRE(cluster.accept_record(zones(2)) == 2U);
    BOOST_REQUIRE(cluster.accept_record(zones(3)) == 3U);
    BOOST_REQUIRE(reaches(cluster.entries().back(), 3));
    set_platform(R"({"outage": true})");
    cluster.daemon(frozen.name).thaw();
    BOOST_TEST(reaches(frozen, 3));
}

BOOST_AUTO_TEST_CASE(a_zone_replaced_one_by_one_in_an_outage_keeps_it)
{
    BOOST_REQUIRE(cluster.accept_record(zones(2)) == 2U);
    BOOST_REQUIRE(all_reach(2));
    set_platform(R"({"outage": true})");
    const auto zone = cluster.entries().front().zone;
    for (const auto& entry : cluster.entries())
    {
        if (entry.zone == zone)
        {
            replace(entry);
            BOOST_TEST(reaches(entry, 2));
        }
    }
}

BOOST_AUTO_TEST_CASE(without_store_and_peers_a_daemon_is_not_ready)
{
    set_platform(R"({"outage": true})");
    for (const auto& entry : cluster.entries())
    {
        cluster.daemon(entry.name).kill();
        cluster.daemon(entry.name).wait();
    }
    const auto& alone = cluster.entries().front();
    cluster.start_daemon(alone.name);
    BOOST_REQUIRE(harness::wait_until(
        [&] {
            return !cluster.get_json(alone.operator_address, "/v1/status")
                        .empty();
        }));
    const auto health = cluster.call(
        alone.operator_address, {.method = "GET", .target = "/healthz"});
    BOOST_REQUIRE(health.has_value());
    BOOST_TEST(health.value().status == 503U);
    set_platform(R"({"outage": false})");
    BOOST_TEST(reaches(alone, 1));
}

BOOST_AUTO_TEST_CASE(a_forged_record_in_the_store_never_comes_in_force)
{
    decision::records::accepted_change forged{
        .revision = 2,
        .key = "deployment/authority",
        .proposal_id = "p-forged",
        .author = "selam",
        .reviewer = "dawit",
        .closed_by = "dawit",
        .record_json = zones(666)};
    forged.digest = decision::records::digest_of(forged.record_json);
    const auto text = to_json(forged);
    store::transaction change;
    change.writes = {
        {"records", forged.key, text},
        {"log", decision::records::log_key(2), text},
        {"head", "head", "2"}};
    store::http_table_service table{cluster.platform(), in_force_bound};
    BOOST_REQUIRE(net::run_blocking(table.commit(change)).has_value());

    BOOST_TEST(all_reach(2));
    // One that has to begin with what the store holds.
    replace(cluster.entries().front());
    BOOST_TEST(all_reach(2));
    for (const auto& entry : cluster.entries())
    {
        const auto held = cluster.call(
            entry.caller_address,
            {.method = "GET", .target = "/v1/configuration?after=0"});
        BOOST_REQUIRE(held.has_value());
        BOOST_TEST(held.value().body.find("p-forged") == std::string::npos);
        BOOST_TEST(
            held.value().body.find("deployment/authority") !=
            std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
