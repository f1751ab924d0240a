// Tests for parsing the JSON documents of the platform's store.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>

#include "platform/documents.hpp"

using namespace waxwingvalve;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view valid_worker =
    R"({"address":"10.0.0.9:8080","born":17,"info":{"service":"desk",)"
    R"("version":"v1","zone":"addis-a","slots":4},"status":{"state":)"
    R"("ready","sequence":4,"cold_remaining":"1.5s"}})";

struct invalid_worker
{
    std::string_view description;
    std::string_view json;
};

std::ostream& operator<<(std::ostream& stream, const invalid_worker& test_case)
{
    return stream << test_case.description;
}

constexpr std::array invalid_workers{
    invalid_worker{"not JSON", "\x01\x02"},
    invalid_worker{"an array instead of an object", "[]"},
    invalid_worker{
        "no address",
        R"({"info":{"service":"desk","version":"v1","zone":"a","slots":4},)"
        R"("status":{"state":"ready","sequence":4,"cold_remaining":"0ms"}})"},
    invalid_worker{
        "a host name",
        R"({"address":"desk:80","info":{"service":"desk","version":"v1",)"
        R"("zone":"a","slots":4},"status":{"state":"ready","sequence":4,)"
        R"("cold_remaining":"0ms"}})"},
    invalid_worker{
        "slots as a string",
        R"({"address":"10.0.0.9:8080","info":{"service":"desk",)"
        R"("version":"v1","zone":"a","slots":"4"},"status":{"state":"ready",)"
        R"("sequence":4,"cold_remaining":"0ms"}})"},
    invalid_worker{
        "an unknown state",
        R"({"address":"10.0.0.9:8080","info":{"service":"desk",)"
        R"("version":"v1","zone":"a","slots":4},"status":{"state":"odd",)"
        R"("sequence":4,"cold_remaining":"0ms"}})"},
    invalid_worker{
        "non-integer start time",
        R"({"address":"10.0.0.9:8080","born":"x","info":{"service":"desk",)"
        R"("version":"v1","zone":"a","slots":4},"status":{"state":"ready",)"
        R"("sequence":4,"cold_remaining":"0ms"}})"}};

constexpr std::string_view valid_configuration =
    R"({"version":"r12","resources":[)"
    R"({"entry_type":"routes","metadata":{"name":"one"},"spec":{"host":)"
    R"("a.example","prefix":"/x/","kind":"safe","timeout":"800ms",)"
    R"("target_latency":"300ms","priority":2,"traffic_split":[{"service":)"
    R"("old","weight":90},{"service":"new","weight":10}],"max_attempts":2,)"
    R"("sticky":true,"home_regions":["addis"]}},)"
    R"({"entry_type":"routes","metadata":{"name":"two"},"spec":{"host":)"
    R"("a.example","prefix":"/y/","kind":"unsafe","timeout":"1s",)"
    R"("target_latency":"400ms","priority":1,"service":"old",)"
    R"("max_attempts":1}},)"
    R"({"entry_type":"services","metadata":{"name":"old"},"spec":{)"
    R"("health_path":"/health","max_connections":390,"cold_start":"3s",)"
    R"("cold_per_s":7.2}},)"
    R"({"entry_type":"tenants","metadata":{"name":"acme"},"spec":{)"
    R"("api_keys":["key-1","key-2"],"priority":1,"rate_per_s":962.5,)"
    R"("burst":96,"home_regions":["gondar"]}},)"
    R"({"entry_type":"tenants","metadata":{"name":"other"},"spec":{)"
    R"("api_keys":["key-3"]}},)"
    R"({"entry_type":"limits","metadata":{},"spec":{"max_header_bytes":)"
    R"(16384,"max_body_bytes":100,"header_timeout":"3000ms",)"
    R"("idle_timeout":"15000ms"}}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(document_parsing)

BOOST_AUTO_TEST_CASE(all_worker_fields_are_parsed)
{
    const auto parsed = platform::parse_worker("i-1", valid_worker);
    BOOST_REQUIRE(parsed.has_value());
    const auto& worker = parsed.value();
    BOOST_TEST(worker.id == "i-1");
    BOOST_TEST(worker.service == "desk");
    BOOST_TEST(to_string(worker.address) == "10.0.0.9:8080");
    BOOST_TEST(worker.zone == "addis-a");
    BOOST_TEST(worker.slots == 4U);
    BOOST_TEST(!worker.draining);
    BOOST_TEST((worker.cold_time_left == 1500ms));
    BOOST_TEST(worker.started_at_ms == 17);
    BOOST_TEST(worker.report_number == 4U);
}

BOOST_DATA_TEST_CASE(invalid_worker_documents_are_rejected, invalid_workers)
{
    const auto parsed = platform::parse_worker("i-1", sample.json);
    BOOST_REQUIRE(!parsed.has_value());
    BOOST_TEST((parsed.error().code == base::result_code::record_malformed));
}

BOOST_AUTO_TEST_CASE(all_configuration_fields_are_parsed)
{
    const auto parsed = platform::parse_configuration(valid_configuration);
    BOOST_REQUIRE(parsed.has_value());
    const auto& configuration = parsed.value();
    BOOST_TEST(configuration.version == 12U);
    BOOST_REQUIRE(configuration.routes.size() == 2U);
    BOOST_TEST(configuration.routes[0].idempotent);
    BOOST_TEST(configuration.routes[0].parts.size() == 2U);
    BOOST_TEST(configuration.routes[0].parts[1].weight == 10U);
    BOOST_TEST(configuration.routes[0].sticky);
    BOOST_TEST(configuration.routes[0].home_regions.size() == 1U);
    BOOST_TEST(!configuration.routes[1].idempotent);
    BOOST_TEST(configuration.routes[1].parts.front().service == "old");
    BOOST_TEST((configuration.routes[1].timeout == 1s));
    BOOST_TEST(configuration.services.at("old").cold_requests_per_s == 7.2);
    BOOST_TEST(configuration.limits.body_bytes == 100U);
}

BOOST_AUTO_TEST_CASE(all_account_fields_are_parsed)
{
    const auto parsed = platform::parse_configuration(valid_configuration);
    BOOST_REQUIRE(parsed.has_value());
    const auto& accounts = parsed.value().accounts;
    BOOST_REQUIRE(accounts.size() == 2U);
    BOOST_TEST(accounts[0].name == "acme");
    BOOST_REQUIRE(accounts[0].keys.size() == 2U);
    BOOST_TEST(accounts[0].keys[1] == "key-2");
    BOOST_TEST(accounts[0].priority.value() == 1U);
    BOOST_TEST(accounts[0].requests_per_s == 962.5);
    BOOST_TEST(accounts[0].burst == 96.0);
    BOOST_REQUIRE(accounts[0].home_regions.size() == 1U);
    // Left out: the route's priority, no limit, every region.
    BOOST_TEST(!accounts[1].priority.has_value());
    BOOST_TEST(accounts[1].requests_per_s == 0.0);
    BOOST_TEST(accounts[1].home_regions.empty());
}

// A list that was read in part would let keys through, or keep them out. The
// reason is logged and must not hold a key.
BOOST_AUTO_TEST_CASE(unreadable_accounts_are_rejected)
{
    for (const std::string_view bad :
         {R"("api_keys":["key-1",7])",
          R"("api_keys":"key-1")",
          R"("api_keys":["key-1","key-1"])",
          R"("api_keys":["key-1","key-3"])",
          R"("api_keys":["key-1",""])"})
    {
        std::string text{valid_configuration};
        const std::string_view good{R"("api_keys":["key-1","key-2"])"};
        text.replace(text.find(good), good.size(), bad);
        const auto parsed = platform::parse_configuration(text);
        BOOST_TEST(!parsed.has_value(), bad);
        BOOST_TEST(to_string(parsed.error()).find("key-") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(downloads_are_idempotent)
{
    std::string text{valid_configuration};
    const std::string_view safe{R"("kind":"safe")"};
    text.replace(text.find(safe), safe.size(), R"("kind":"download")");
    const auto parsed = platform::parse_configuration(text);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().routes[0].idempotent);
}

// A later kind of route may not be repeatable.
BOOST_AUTO_TEST_CASE(other_kinds_of_routes_are_not_idempotent)
{
    for (const auto* kind : {"unsafe", "upload", "stream", "Safe", ""})
    {
        std::string text{valid_configuration};
        const std::string_view safe{R"("kind":"safe")"};
        text.replace(
            text.find(safe),
            safe.size(),
            std::string{R"("kind":")"} + kind + '"');
        const auto parsed = platform::parse_configuration(text);
        BOOST_REQUIRE(parsed.has_value());
        BOOST_TEST(!parsed.value().routes[0].idempotent);
    }
}

// Guards against a route that runs in every region, because the entries of its
// list of home regions could not be read.
BOOST_AUTO_TEST_CASE(unreadable_home_regions_do_not_allow_every_region)
{
    const std::string_view homes{R"("home_regions":["addis"])"};
    for (const auto* unreadable : {"[7]", R"(["addis",{}])", "[null]"})
    {
        std::string text{valid_configuration};
        text.replace(
            text.find(homes),
            homes.size(),
            std::string{R"("home_regions":)"} + unreadable);
        const auto parsed = platform::parse_configuration(text);
        BOOST_REQUIRE(!parsed.has_value());
        BOOST_TEST(
            to_string(parsed.error()).find("home_regions") !=
            std::string::npos);
    }
}

// Guards against a number that is cut to 32 bits, as 1 attempt for 4294967297.
BOOST_AUTO_TEST_CASE(a_configuration_with_a_number_too_large_is_rejected)
{
    for (const std::string_view field :
         {R"("max_attempts":2)",
          R"("priority":2)",
          R"("weight":90)",
          R"("max_connections":390)",
          R"("max_header_bytes":16384)"})
    {
        BOOST_TEST_CONTEXT(field)
        {
            std::string text{valid_configuration};
            text.replace(
                text.find(field),
                field.size(),
                std::string{field.substr(0, field.find(':'))} + ":4294967297");
            const auto parsed = platform::parse_configuration(text);
            BOOST_TEST(!parsed.has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(malformed_configurations_are_rejected)
{
    BOOST_TEST(!platform::parse_configuration(R"({"resources":[]})"));
    BOOST_TEST(
        !platform::parse_configuration(R"({"version":"12","resources":[]})"));
    BOOST_TEST(!platform::parse_configuration("{"));
}

BOOST_AUTO_TEST_SUITE_END()
