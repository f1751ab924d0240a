// The whole path as separate processes: from an operator's record to the
// answer that a caller gets.
#include <chrono>
#include <string>
#include <thread>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "harness/cluster.hpp"

using namespace waxwingvalve;

namespace
{

struct running_cluster
{
    running_cluster()
    {
        cluster.start_platform();
        cluster.start_upstreams();
        cluster.start_daemons();
    }

    harness::cluster cluster{harness::authority()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(whole_path, running_cluster)

BOOST_AUTO_TEST_CASE(serves_look_ups_and_filings_by_accepted_records)
{
    const auto& first = cluster.entries().front();
    BOOST_TEST(
        cluster
            .call(
                first.operator_address, {.method = "GET", .target = "/healthz"})
            .value()
            .status == 503U);

    BOOST_REQUIRE(cluster.accept_layout());
    BOOST_TEST(
        cluster
            .call(
                first.operator_address, {.method = "GET", .target = "/healthz"})
            .value()
            .status == 200U);

    const auto list = cluster.get_json(
        first.caller_address,
        "/v1/entries?service=seam-registry&client=127.0.0.1");
    BOOST_TEST(list.at("entries").as_array().size() == 11U);

    const auto look_up = cluster.call(
        first.caller_address,
        {.method = "GET",
         .target = "/vessels/jar-7?part=handle",
         .fields = {{"Waxwing-Service", "seam-registry"}}});
    BOOST_REQUIRE(look_up.has_value());
    BOOST_TEST(look_up.value().status == 200U);
    const auto got = boost::json::parse(look_up.value().body);
    BOOST_TEST(got.at("target").as_string() == "/vessels/jar-7?part=handle");

    const auto filing = cluster.call(
        first.caller_address,
        {.method = "POST",
         .target = "/filings",
         .fields =
             {{"Waxwing-Service", "seam-registry"},
              {"Idempotency-Key", "whole-path-1"}},
         .body = "{\"vessel\":\"jar-7\"}"});
    BOOST_REQUIRE(filing.has_value());
    BOOST_TEST(filing.value().status == 200U);
    const auto filed = boost::json::parse(filing.value().body);
    BOOST_TEST(filed.at("body").as_string() == "{\"vessel\":\"jar-7\"}");
}

// A second daemon of the same list goes on being named; the one that stops
// serves those who still hold the old list, and what runs at the end.
BOOST_AUTO_TEST_CASE(a_planned_stop_serves_on_and_cuts_nothing)
{
    BOOST_REQUIRE(cluster.accept_layout());
    const auto& leaving = cluster.entries().front();
    auto& daemon = cluster.daemon(leaving.name);
    daemon.terminate();
    BOOST_REQUIRE(harness::wait_until(
        [&]
        {
            const auto list = cluster.get_json(
                leaving.caller_address, "/v1/entries?service=seam-registry");
            const auto* entries = list.if_contains("entries");
            return entries != nullptr && entries->as_array().size() == 10U;
        }));
    const auto late = cluster.call(
        leaving.caller_address,
        {.method = "GET",
         .target = "/vessels/jar-8",
         .fields = {{"Waxwing-Service", "seam-registry"}}});
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST(late.value().status == 200U);
    BOOST_TEST(daemon.wait() == 0);
}

BOOST_AUTO_TEST_CASE(a_second_signal_ends_at_once)
{
    BOOST_REQUIRE(cluster.accept_layout());
    auto& daemon = cluster.daemon(cluster.entries().front().name);
    const auto began = base::monotonic_clock::now();
    daemon.terminate();
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    daemon.terminate();
    BOOST_TEST(daemon.wait() == 130);
    const auto took = base::monotonic_clock::now() - began;
    BOOST_TEST(base::to_milliseconds(took) < 4000);
}

BOOST_AUTO_TEST_CASE(metrics_are_served_in_the_exposition_format)
{
    const auto page = cluster.call(
        cluster.entries().front().operator_address,
        {.method = "GET", .target = "/metrics"});
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(
        page.value().body.find("# TYPE waxwingvalve_revision gauge\n"
                               "waxwingvalve_revision 0\n") !=
        std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
