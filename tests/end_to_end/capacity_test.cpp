// Caps and drains as separate processes, by what the upstream workers saw.
#include <algorithm>
#include <thread>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "harness/cluster.hpp"

using namespace waxwingvalve;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::int64_t cap = 3;
constexpr const char* service = "hire-desk";
constexpr const char* capped_zone = "isan-a";

struct run_times
{
    std::int64_t began_us{};
    std::int64_t ended_us{};
};

// One region, two zones, one entry each; a service of three workers a zone.
harness::layout small()
{
    return {
        .name = "small",
        .zones = {{"isan", "isan-a", 1}, {"isan", "isan-b", 1}},
        .services = {{service, 6, 4, ""}},
        .zone_delay_us = 3000,
        .region_delay_us = 20000};
}

std::int64_t now_us()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// The platform's list with this upstream VM as leaving.
std::string leaving_list(const base::endpoint& worker)
{
    return json::serialize(json::object{
        {"vms",
         json::array{json::object{
             {"name", "old-upstream"},
             {"address", worker.address},
             {"zone", capped_zone},
             {"role", "upstream"},
             {"state", "leaving"}}}}});
}

struct small_cluster
{
    small_cluster()
    {
        cluster.start_platform();
        cluster.start_upstreams();
        cluster.start_daemons();
        for (const auto& one : cluster.workers())
        {
            cluster.set_faults(one.address, R"({"service_ms":50})");
        }
        auto record = json::parse(cluster.service_record(service)).as_object();
        record["caps"] =
            json::array{{{"zone", capped_zone}, {"concurrent", cap}}};
        cluster.accept_record(cluster.deployment_record());
        const auto revision = cluster.accept_record(json::serialize(record));
        BOOST_REQUIRE(revision == 2U);
        BOOST_REQUIRE(cluster.wait_for_revision(revision));
        // A record can be in force before any worker has an owner, and an
        // entry without owners refuses.
        BOOST_REQUIRE(cluster.wait_for_owners());
    }

    std::vector<run_times> runs_of(const base::endpoint& worker) const
    {
        const auto told = cluster.get_json(worker, "/control");
        std::vector<run_times> out;
        for (const auto& run : told.at("runs").as_array())
        {
            out.push_back(
                {run.at("began_us").to_number<std::int64_t>(),
                 run.at("ended_us").to_number<std::int64_t>()});
        }
        return out;
    }

    // Twelve callers, all at the capped zone's entry, for `time`.
    void load(milliseconds time) const
    {
        const auto end = base::monotonic_clock::now() + time;
        constexpr std::size_t count = 12;
        std::vector<std::thread> callers;
        callers.reserve(count);
        for (std::size_t at = 0; at < count; ++at)
        {
            callers.emplace_back(
                [&]
                {
                    while (base::monotonic_clock::now() < end)
                    {
                        static_cast<void>(cluster.call(
                            cluster.entries().front().caller_address,
                            {.method = "GET",
                             .target = "/lineage/1",
                             .fields = {{"Waxwing-Service", service}}}));
                    }
                });
        }
        for (auto& one : callers)
        {
            one.join();
        }
    }

    harness::cluster cluster{small()};
};

// Most runs at once; a run that has not ended runs for ever.
std::int64_t most_at_once(const std::vector<run_times>& runs)
{
    std::vector<std::pair<std::int64_t, int>> changes;
    for (const auto& one : runs)
    {
        changes.emplace_back(one.began_us, 1);
        if (one.ended_us != 0)
        {
            changes.emplace_back(one.ended_us, -1);
        }
    }
    std::ranges::sort(changes);
    std::int64_t running{0};
    std::int64_t most{0};
    for (const auto& [at, change] : changes)
    {
        running += change;
        most = std::max(most, running);
    }
    return most;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(capacity, small_cluster)

BOOST_AUTO_TEST_CASE(a_zone_stays_within_its_cap_under_more_load)
{
    // Reports that promise room must not raise what is admitted.
    for (const auto& one : cluster.workers())
    {
        cluster.set_faults(one.address, R"({"claimed_running":0})");
    }
    load(seconds{3});
    std::vector<run_times> in_zone;
    for (const auto& one : cluster.workers())
    {
        const auto runs = runs_of(one.address);
        BOOST_TEST(most_at_once(runs) <= std::int64_t{one.slots});
        if (one.zone == capped_zone)
        {
            in_zone.insert(in_zone.end(), runs.begin(), runs.end());
        }
    }
    BOOST_TEST(!in_zone.empty());
    BOOST_TEST(most_at_once(in_zone) <= cap);
}

BOOST_AUTO_TEST_CASE(a_drained_worker_gets_no_new_work_and_cuts_none)
{
    const auto by_health = cluster.workers().at(0).address;
    const auto by_record = cluster.workers().at(2).address;
    const auto by_list = cluster.workers().at(4).address;
    std::int64_t drained_us{};
    std::thread operators{
        [&]
        {
            std::this_thread::sleep_for(seconds{1});
            cluster.accept_record(json::serialize(json::object{
                {"kind", "drain"},
                {"schema_version", 1},
                {"name", "old-worker"},
                {"target_kind", "worker"},
                {"target", to_string(by_record)}}));
            drained_us = now_us();
            cluster.set_faults(by_health, R"({"draining":true})");
            cluster.set_faults(cluster.platform(), leaving_list(by_list));
        }};
    load(seconds{8});
    operators.join();
    constexpr std::int64_t bound_us = 5'000'000;
    for (const auto& worker : {by_health, by_record, by_list})
    {
        const auto runs = runs_of(worker);
        BOOST_TEST(!runs.empty());
        for (const auto& run : runs)
        {
            BOOST_TEST(run.began_us <= drained_us + bound_us);
            BOOST_TEST(run.ended_us != 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_drained_entry_is_not_named_and_serves_on)
{
    const auto& drained = cluster.entries().front();
    const auto& other = cluster.entries().back();
    const auto revision = cluster.accept_record(json::serialize(json::object{
        {"kind", "drain"},
        {"schema_version", 1},
        {"name", "old-entry"},
        {"target_kind", "entry"},
        {"target", drained.name}}));
    BOOST_REQUIRE(cluster.wait_for_revision(revision));
    for (const auto& asked : {drained, other})
    {
        const auto list = cluster.get_json(
            asked.caller_address,
            std::string{"/v1/entries?service="} + service);
        const auto& entries = list.at("entries").as_array();
        BOOST_REQUIRE(entries.size() == 1U);
        BOOST_TEST(
            entries.front().at("address").as_string() ==
            to_string(other.caller_address));
    }
    // A caller that kept the old list.
    const auto answer = cluster.call(
        drained.caller_address,
        {.method = "GET",
         .target = "/lineage/1",
         .fields = {{"Waxwing-Service", service}}});
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer.value().status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
