#include <variant>

#include <boost/test/unit_test.hpp>

#include "schema/records.hpp"

using namespace waxwingvalve;

BOOST_AUTO_TEST_SUITE(records)

BOOST_AUTO_TEST_CASE(versions_1_and_2_of_a_service_fill_one_aggregate)
{
    const auto older = schema::parse_record(R"({"kind": "service",
        "schema_version": 1, "name": "hire-desk", "cap": 9,
        "non_idempotent": ["POST /bookings"], "workers": [
        {"address": "127.1.1.100:9000", "zone": "isan-a", "slots": 6},
        {"address": "127.1.2.100:9000", "zone": "isan-b", "slots": 6}]})");
    BOOST_REQUIRE(older.has_value());
    const auto& first = std::get<schema::service>(older.value().body);
    BOOST_TEST(!first.operations.at(0).idempotent);
    BOOST_TEST(first.caps.at(0).concurrent == 4U);
    BOOST_TEST(first.caps.at(1).concurrent == 4U);

    const auto newer = schema::parse_record(R"({"kind": "service",
        "schema_version": 2, "name": "hire-desk", "operations": [
        {"name": "book", "method": "POST", "path_prefix": "/bookings",
        "idempotent": false, "priority": "critical"}], "workers": [
        {"address": "127.1.1.100:9000", "zone": "isan-a", "slots": 6}],
        "caps": [{"zone": "isan-a", "concurrent": 5}]})");
    BOOST_REQUIRE(newer.has_value());
    const auto& second = std::get<schema::service>(newer.value().body);
    BOOST_TEST(second.operations.at(0).name == "book");
    BOOST_TEST(second.caps.at(0).concurrent == 5U);
}

BOOST_AUTO_TEST_CASE(an_unknown_version_is_told_apart_from_an_unknown_kind)
{
    const auto newer = schema::parse_record(
        R"({"kind": "service", "schema_version": 9, "name": "x"})");
    BOOST_TEST(
        (newer.error().code == base::result_code::record_version_unknown));
    const auto other = schema::parse_record(
        R"({"kind": "weather", "schema_version": 1, "name": "x"})");
    BOOST_TEST((other.error().code == base::result_code::record_kind_unknown));
}

BOOST_AUTO_TEST_SUITE_END()
