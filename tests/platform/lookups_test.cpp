// Answers to the platform's own questions.
#include <boost/test/unit_test.hpp>

#include "platform/lookups.hpp"

using namespace waxwingvalve;
using namespace std::chrono_literals;

namespace
{

front::steering::fleet_member member(
    std::string name, std::string zone, std::string region, int number)
{
    front::steering::fleet_member out;
    out.name = std::move(name);
    out.incarnation = 1;
    out.heartbeat = 1;
    out.zone = std::move(zone);
    out.region = std::move(region);
    out.caller_address = {"10.0.0." + std::to_string(number), 80};
    out.peer_address = {"10.0.0." + std::to_string(number), 81};
    out.control_address = {"10.0.0." + std::to_string(number), 82};
    return out;
}

struct scene
{
    scene()
    {
        hear(member("a2", "addis-a", "addis", 2));
        hear(member("a3", "addis-b", "addis", 3));
        hear(member("h1", "harar-a", "harar", 4));
    }

    void hear(const front::steering::fleet_member& one)
    {
        front::steering::fleet_beat beat;
        beat.sender = one;
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
        member("a1", "addis-a", "addis", 1),
        {{"addis-a", "addis"}, {"addis-b", "addis"}, {"harar-a", "harar"}},
        1};
    front::request_metrics counts;
    platform::store_watch watch{loop, {"127.0.0.1", 9}, view, counts};
    bool leaving{false};
    platform::lookup_context context{view, watch, counts, 2s, leaving};
};

bool holds(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lookups)

BOOST_AUTO_TEST_CASE(a_zone_with_two_entries_is_answered_with_them)
{
    const scene here;
    const auto got = here.lookup("name=x&region=addis&zone=addis-a");
    BOOST_TEST(holds(got, "10.0.0.1:80"));
    BOOST_TEST(holds(got, "10.0.0.2:80"));
    BOOST_TEST(!holds(got, "10.0.0.3:80"));
    BOOST_TEST(holds(got, "\"ttl\":\"2000ms\""));
}

BOOST_AUTO_TEST_CASE(a_zone_with_one_entry_is_answered_with_its_region)
{
    const scene here;
    const auto got = here.lookup("name=x&region=addis&zone=addis-b");
    BOOST_TEST(holds(got, "10.0.0.1:80"));
    BOOST_TEST(holds(got, "10.0.0.3:80"));
    BOOST_TEST(!holds(got, "10.0.0.4:80"));
}

BOOST_AUTO_TEST_CASE(a_region_without_entries_is_answered_with_all)
{
    const scene here;
    const auto got = here.lookup("name=x&region=gondar&zone=gondar-a");
    BOOST_TEST(holds(got, "10.0.0.1:80"));
    BOOST_TEST(holds(got, "10.0.0.4:80"));
}

BOOST_AUTO_TEST_CASE(a_leaving_entry_is_not_named)
{
    scene here;
    auto leaving = member("a2", "addis-a", "addis", 2);
    leaving.heartbeat = 2;
    leaving.leaving = true;
    here.hear(leaving);
    BOOST_TEST(!holds(here.lookup("region=addis&zone=addis-a"), "10.0.0.2:80"));
}

BOOST_AUTO_TEST_CASE(a_daemon_without_configuration_is_not_ready)
{
    const scene here;
    BOOST_TEST(here.readiness() == 503U);
}

BOOST_AUTO_TEST_CASE(the_metrics_page_is_at_its_path)
{
    const scene here;
    net::http_request request;
    request.target = "/metrics";
    BOOST_TEST(holds(
        platform::handle_control(here.context, request).body,
        "waxwingvalve_requests_total 0"));
}

BOOST_AUTO_TEST_SUITE_END()
