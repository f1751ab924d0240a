// Tests for the lookup, readiness and metrics endpoints that the platform
// calls.
#include <boost/test/unit_test.hpp>

#include "platform/lookups.hpp"

using namespace waxwingvalve;
using namespace std::chrono_literals;

namespace
{

front::steering::fleet_member make_member(
    std::string name, std::string zone, std::string region, int host_number)
{
    front::steering::fleet_member member;
    member.name = std::move(name);
    member.incarnation = 1;
    member.heartbeat = 1;
    member.zone = std::move(zone);
    member.region = std::move(region);
    member.caller_address = {"10.0.0." + std::to_string(host_number), 80};
    member.peer_address = {"10.0.0." + std::to_string(host_number), 81};
    member.control_address = {"10.0.0." + std::to_string(host_number), 82};
    return member;
}

struct lookup_fixture
{
    lookup_fixture()
    {
        receive_beat(make_member("a2", "addis-a", "addis", 2));
        receive_beat(make_member("a3", "addis-b", "addis", 3));
        receive_beat(make_member("h1", "harar-a", "harar", 4));
        BOOST_REQUIRE(listening.start({}));
    }

    void receive_beat(const front::steering::fleet_member& member)
    {
        front::steering::fleet_beat beat;
        beat.sender = member;
        view.members.receive(beat, base::monotonic_clock::now());
    }

    std::string lookup(const std::string& query) const
    {
        net::http_request request;
        request.method = "GET";
        request.target = "/waxwingvalve/resolve?" + query;
        return platform::handle_lookup(context, request).body;
    }

    unsigned readiness() const
    {
        net::http_request request;
        request.target = "/waxwingvalve/ready";
        return platform::handle_readiness(context, request).status;
    }

    boost::asio::io_context loop;
    front::fleet_view view{
        {},
        make_member("a1", "addis-a", "addis", 1),
        {{"addis-a", "addis"}, {"addis-b", "addis"}, {"harar-a", "harar"}},
        1};
    front::request_metrics metrics;
    front::body_memory memory{{.body_bytes = 1'000}};
    platform::store_watch watch{
        loop, {"127.0.0.1", 9}, view, metrics, std::chrono::milliseconds{1500}};
    bool leaving{false};
    net::listening_steps listening{loop};
    platform::lookup_context context{
        view, watch, metrics, memory, 2s, leaving, listening};
};

bool contains(const std::string& text, std::string_view substring)
{
    return text.find(substring) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lookups)

BOOST_AUTO_TEST_CASE(lookup_returns_entries_of_zone_with_two_entries)
{
    const lookup_fixture fixture;
    const auto response_body =
        fixture.lookup("name=x&region=addis&zone=addis-a");
    BOOST_TEST(contains(response_body, "10.0.0.1:80"));
    BOOST_TEST(contains(response_body, "10.0.0.2:80"));
    BOOST_TEST(!contains(response_body, "10.0.0.3:80"));
    BOOST_TEST(contains(response_body, "\"ttl\":\"2000ms\""));
}

BOOST_AUTO_TEST_CASE(lookup_widens_to_region_if_zone_has_one_entry)
{
    const lookup_fixture fixture;
    const auto response_body =
        fixture.lookup("name=x&region=addis&zone=addis-b");
    BOOST_TEST(contains(response_body, "10.0.0.1:80"));
    BOOST_TEST(contains(response_body, "10.0.0.3:80"));
    BOOST_TEST(!contains(response_body, "10.0.0.4:80"));
}

BOOST_AUTO_TEST_CASE(lookup_returns_all_entries_if_region_has_none)
{
    const lookup_fixture fixture;
    const auto response_body =
        fixture.lookup("name=x&region=gondar&zone=gondar-a");
    BOOST_TEST(contains(response_body, "10.0.0.1:80"));
    BOOST_TEST(contains(response_body, "10.0.0.4:80"));
}

BOOST_AUTO_TEST_CASE(lookup_omits_leaving_entries)
{
    lookup_fixture fixture;
    auto leaving = make_member("a2", "addis-a", "addis", 2);
    leaving.heartbeat = 2;
    leaving.leaving = true;
    fixture.receive_beat(leaving);
    BOOST_TEST(
        !contains(fixture.lookup("region=addis&zone=addis-a"), "10.0.0.2:80"));
}

BOOST_AUTO_TEST_CASE(daemon_without_configuration_is_not_ready)
{
    const lookup_fixture fixture;
    BOOST_TEST(fixture.readiness() == 503U);
}

BOOST_AUTO_TEST_CASE(metrics_are_served_at_metrics_path)
{
    const lookup_fixture fixture;
    net::http_request request;
    request.target = "/metrics";
    BOOST_TEST(contains(
        platform::handle_control(fixture.context, request).body,
        "waxwingvalve_requests_total 0"));
}

BOOST_AUTO_TEST_CASE(rows_after_an_unreadable_version_are_refused)
{
    const lookup_fixture fixture;
    net::http_request request;
    request.target = "/v1/rows?table=servers&after=-1";
    BOOST_TEST(
        platform::handle_control(fixture.context, request).status == 400U);
}

BOOST_AUTO_TEST_SUITE_END()
