#include <string>

#include <boost/test/unit_test.hpp>

#include "schema/settings.hpp"

using namespace waxwingvalve;

namespace
{

const std::string good = R"({
  "schema_version": 1, "name": "addis-a-1", "region": "addis",
  "zone": "addis-a", "caller_address": "127.1.1.1:8080",
  "peer_address": "127.1.1.1:8081", "operator_address": "127.1.1.1:8082",
  "platform": {"table_address": "127.1.0.1:7000",
    "object_address": "127.1.0.1:7000", "vm_list_address": "127.1.0.1:7000"}
})";

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(reads_a_daemons_settings_with_defaults)
{
    const auto parsed = schema::parse_daemon_settings(good);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().caller_address.port == 8080);
    BOOST_TEST(parsed.value().limits.head_bytes == 16384U);
}

BOOST_AUTO_TEST_CASE(names_the_field_at_fault)
{
    auto bad = good;
    bad.replace(bad.find("127.1.1.1:8081"), 14, "peer.example:1");
    const auto parsed = schema::parse_daemon_settings(bad);
    BOOST_REQUIRE(!parsed.has_value());
    BOOST_TEST(
        parsed.error().detail.starts_with("peer_address: expected IP number"));
}

BOOST_AUTO_TEST_SUITE_END()
