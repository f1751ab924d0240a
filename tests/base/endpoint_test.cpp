#include <string_view>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "base/endpoint.hpp"

using waxwingvalve::base::is_ip_number;
using waxwingvalve::base::parse_endpoint;
using waxwingvalve::base::to_string;

BOOST_AUTO_TEST_SUITE(endpoint)

constexpr std::string_view good[] = {
    "127.0.0.1:80", "[::1]:8080", "255.255.255.255:65535"};

BOOST_DATA_TEST_CASE(reads_and_writes_back, good, text)
{
    const auto parsed = parse_endpoint(text);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(to_string(parsed.value()) == text);
}

constexpr std::string_view bad[] = {
    "",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "127.0.0.1:80x",
    "localhost:80",
    "127.0.0.256:80",
    "::1:80x",
    "[::1]80"};

BOOST_DATA_TEST_CASE(refuses, bad, text)
{
    BOOST_TEST(!parse_endpoint(text).has_value());
}

BOOST_AUTO_TEST_CASE(tells_ip_numbers_from_names)
{
    BOOST_TEST(is_ip_number("10.0.0.1"));
    BOOST_TEST(is_ip_number("2001:db8::1"));
    BOOST_TEST(!is_ip_number("addis.example"));
    BOOST_TEST(!is_ip_number("10.0.0.1:80"));
}

BOOST_AUTO_TEST_SUITE_END()
