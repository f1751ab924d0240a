// Tests of the rows that the store or another daemon answers with.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <string_view>

#include "platform/store_client.hpp"

using namespace waxwingvalve;

namespace
{

std::string rows_with_value(std::string_view base64)
{
    return R"({"rows":[{"key":"k","schema_version":3,"value":")" +
           std::string{base64} + R"("}],"schema_version":3})";
}

constexpr std::array unreadable_values{
    "=", "==", "===", "====", "A===", "========", "QQ==QQ==", "QQ=", "*"};

} // namespace

BOOST_AUTO_TEST_SUITE(store_clients)

// Guards against the end of the process by a value of padding alone, which
// decodes to fewer bytes than the padding takes away.
BOOST_DATA_TEST_CASE(an_unreadable_value_is_empty, unreadable_values)
{
    const auto rows = platform::parse_rows(rows_with_value(sample));
    BOOST_REQUIRE(rows.has_value());
    BOOST_REQUIRE(rows.value().rows.size() == 1U);
    BOOST_TEST(rows.value().rows.front().value.empty());
}

BOOST_AUTO_TEST_CASE(a_value_is_decoded)
{
    for (const auto& [base64, text] :
         {std::pair{"", ""},
          std::pair{"YQ==", "a"},
          std::pair{"YWI=", "ab"},
          std::pair{"YWJj", "abc"}})
    {
        const auto rows = platform::parse_rows(rows_with_value(base64));
        BOOST_REQUIRE(rows.has_value());
        BOOST_TEST(rows.value().rows.front().value == text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
