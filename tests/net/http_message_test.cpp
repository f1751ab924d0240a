#include <string>
#include <string_view>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "net/http_message.hpp"

using namespace waxwingvalve::net;

BOOST_AUTO_TEST_SUITE(http_messages)

BOOST_AUTO_TEST_CASE(fields_are_found_without_case_and_replaced)
{
    std::vector<header_field> fields{{"waxwing-service", "a"}, {"X", "1"}};
    BOOST_TEST(find_field(fields, "Waxwing-Service").value() == "a");
    set_field(fields, "WAXWING-SERVICE", "b");
    BOOST_TEST(fields.size() == 2U);
    BOOST_TEST(find_field(fields, "Waxwing-Service").value() == "b");
    BOOST_TEST(!find_field(fields, "Y").has_value());
}

struct query_case
{
    std::string_view target;
    std::string_view value;
    bool found;
};

std::ostream& operator<<(std::ostream& out, const query_case& one)
{
    return out << one.target;
}

constexpr query_case query_cases[] = {
    {"/e?service=a", "a", true},
    {"/e?x=1&service=a%20b", "a b", true},
    {"/e?service=", "", true},
    {"/e?service", "", false},
    {"/e?xservice=a", "", false},
    {"/e?service=%2", "", false},
    {"/e?service=%zz", "", false},
    {"/e", "", false},
};

BOOST_DATA_TEST_CASE(reads_query_values, query_cases, one)
{
    const auto found = query_value(one.target, "service");
    BOOST_TEST(found.has_value() == one.found);
    BOOST_TEST(found.value_or("") == one.value);
}

BOOST_AUTO_TEST_CASE(encodes_what_it_decodes)
{
    const std::string text{"a/b c%&=?\xe1\x8a\xa0"};
    const auto target = "/x?key=" + percent_encode(text);
    BOOST_TEST(query_value(target, "key").value() == text);
}

BOOST_AUTO_TEST_SUITE_END()
