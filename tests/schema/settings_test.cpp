// One table of bad settings: each has to be refused with the path of the
// field, what was expected and what was found.
#include <string>
#include <string_view>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "schema/settings.hpp"

using namespace waxwingvalve;

namespace
{

constexpr std::string_view good = R"({
  "schema_version": 1, "name": "addis-a-1", "region": "addis",
  "zone": "addis-a", "caller_address": "127.1.1.1:8080",
  "peer_address": "127.1.1.1:8081", "operator_address": "127.1.1.1:8082",
  "platform": {"table_address": "127.1.0.1:7000",
    "object_address": "127.1.0.1:7000", "vm_list_address": "127.1.0.1:7000"},
  "peers": [
    {"name": "addis-a-2", "region": "addis", "zone": "addis-a",
     "caller_address": "127.1.1.2:8080", "peer_address": "127.1.1.2:8081"},
    {"name": "gondar-a-1", "region": "gondar", "zone": "gondar-a",
     "caller_address": "127.1.3.1:8080", "peer_address": "127.1.3.1:8081"}],
  "limits": {"connections": 100},
  "log_level": "info"
})";

std::string with(std::string_view found, std::string_view replacement)
{
    std::string text{good};
    const auto at = text.find(found);
    BOOST_REQUIRE(at != std::string::npos);
    text.replace(at, found.size(), replacement);
    return text;
}

struct bad_case
{
    std::string_view replaced;
    std::string_view by;
    std::string_view message;
};

std::ostream& operator<<(std::ostream& out, const bad_case& one)
{
    return out << one.by;
}

constexpr bad_case bad_cases[] = {
    {"\"info\"\n}", "\"info\"\n", "expected JSON, found: "},
    {"\"zone\": \"addis-a\", \"caller",
     "\"zome\": \"addis-a\", \"caller",
     "zome: expected one of caller_address limits log_level name"},
    {"\"zone\": \"addis-a\", \"caller", "\"caller", "zone: expected a value"},
    {"\"region\": \"addis\",\n",
     "\"region\": \"addis\", \"region\": \"harar\",\n",
     "region: expected a field once"},
    {"\"name\": \"addis-a-1\"",
     "\"name\": 7",
     "name: expected a string, found 7"},
    {"\"name\": \"addis-a-1\"", "\"name\": \"\"", "name: expected a name"},
    {"\"schema_version\": 1", "\"schema_version\": 9", "schema_version: "},
    {"\"schema_version\": 1",
     "\"schema_version\": -1",
     "schema_version: expected a whole number from 0 to 4294967295, found -1"},
    {"127.1.1.1:8080",
     "addis.example:80",
     "caller_address: expected IP number and port"},
    {"127.1.1.1:8081", "127.1.1.1:8080", "operator_address: expected caller"},
    {"127.1.0.1:7000", "127.1.0.1", "platform.table_address: expected IP"},
    {"\"platform\": {",
     "\"platform\": [], \"x\": {",
     "platform: expected an object"},
    {"\"name\": \"addis-a-2\"",
     "\"name\": \"addis-a-1\"",
     "peers[0].name: expected another one"},
    {"\"name\": \"gondar-a-1\"",
     "\"name\": \"addis-a-2\"",
     "peers[1].name: expected another one"},
    {"127.1.3.1:8080", "127.1.1.2:8080", "peers[1].caller_address: "},
    {"127.1.3.1:8081", "127.1.3.1:99999", "peers[1].peer_address: "},
    {"\"region\": \"addis\", \"zone\"",
     "\"region\": \"harar\", \"zone\"",
     "peers[0].region: expected \"addis\""},
    {"\"peers\": [",
     "\"peers\": [4, ",
     "peers[0]: expected an object, found 4"},
    {"\"connections\": 100", "\"connections\": 0", "limits.connections: "},
    {"\"connections\": 100", "\"connections\": 1.5", "limits.connections: "},
    {"\"connections\": 100", "\"connexions\": 1", "limits.connexions: "},
    {"\"info\"", "\"loud\"", "log_level: expected debug, info, warning or"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(reads_a_daemons_settings_with_defaults)
{
    const auto parsed = schema::parse_daemon_settings(good);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().caller_address.port == 8080);
    BOOST_TEST(parsed.value().limits.connections == 100U);
    BOOST_TEST(parsed.value().limits.head_bytes == 16384U);
    BOOST_TEST(parsed.value().peers.size() == 2U);
}

BOOST_DATA_TEST_CASE(names_the_field_at_fault, bad_cases, one)
{
    const auto parsed =
        schema::parse_daemon_settings(with(one.replaced, one.by));
    BOOST_REQUIRE(!parsed.has_value());
    BOOST_TEST_INFO(parsed.error().detail);
    BOOST_TEST(parsed.error().detail.starts_with(one.message));
}

BOOST_AUTO_TEST_CASE(reads_an_operators_settings)
{
    const auto parsed = schema::parse_operator_settings(R"({
      "schema_version": 1, "operator": "selam", "key_file": "selam.key",
      "platform": {"table_address": "127.1.0.1:7000",
        "object_address": "127.1.0.1:7000",
        "vm_list_address": "127.1.0.1:7000"},
      "daemons": ["127.1.1.1:8082"]})");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().operator_name == "selam");
    BOOST_TEST(parsed.value().daemons.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
