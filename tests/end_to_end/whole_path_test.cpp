// The whole path as separate processes: from an operator's record to the
// answer that a caller gets.
#include <string>

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

BOOST_AUTO_TEST_CASE(a_planned_stop_exits_with_success)
{
    auto& daemon = cluster.daemon(cluster.entries().front().name);
    daemon.terminate();
    BOOST_TEST(daemon.wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
