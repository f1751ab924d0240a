// Tests of the rows that the store or another daemon answers with.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include <sys/resource.h>

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

constexpr std::array unreadable_rows{
    "",
    "[]",
    R"({"rows":[]})",
    R"({"rows":{},"schema_version":3})",
    R"({"rows":[],"schema_version":"3"})",
    R"({"rows":[],"schema_version":-1})",
    R"({"rows":[],"schema_version":99999999999999999999})",
    // A later number that can be read does not hide the one that cannot.
    R"({"rows":[],"schema_version":"3","era":1})",
    R"({"rows":[],"schema_version":3,"era":"x","age_ms":1})",
    R"({"rows":[],"schema_version":3,"age_ms":1e300})",
    R"({"rows":[],"schema_version":3,"age_ms":9223372036854775807})",
    R"({"rows":[7],"schema_version":3})",
    R"({"rows":[{"key":7,"schema_version":3}],"schema_version":3})",
    R"({"rows":[{"key":"k","schema_version":1e30}],"schema_version":3})"};

std::uint64_t most_resident_bytes()
{
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    return static_cast<std::uint64_t>(used.ru_maxrss) * 1024;
}

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

// A configuration that is passed on takes a part of its bytes on the link.
BOOST_AUTO_TEST_CASE(large_values_are_passed_on_compressed)
{
    platform::table_response response{.version = 7};
    response.rows.push_back({"large", std::string(200'000, 'a'), 7});
    response.rows.push_back({"small", "b", 6});
    response.unstored_configuration = std::string(100'000, 'c');
    platform::row_packer packer;
    const auto text = platform::format_rows(response, &packer);
    BOOST_TEST(text.size() < 5'000U);
    const auto read = platform::parse_rows(text);
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read.value().rows.size() == 2U);
    BOOST_TEST((read.value().rows[0].value == response.rows[0].value));
    BOOST_TEST(read.value().rows[1].value == "b");
    BOOST_TEST(
        (read.value().unstored_configuration ==
         response.unstored_configuration));
}

// Guards against memory without end by answers of a few KB.
BOOST_AUTO_TEST_CASE(compressed_values_are_bounded_together)
{
    platform::table_response response{.version = 7};
    const std::string half(platform::max_rows_bytes / 2, 'a');
    platform::row_packer packer;
    response.rows.assign(2, {"k", half, 7});
    BOOST_TEST(platform::parse_rows(platform::format_rows(response, &packer))
                   .has_value());
    response.rows.assign(3, {"k", half, 7});
    BOOST_TEST(!platform::parse_rows(platform::format_rows(response, &packer))
                    .has_value());
}

// Guards against a value of before a restore of the store, which gives the same
// key and version out again.
BOOST_AUTO_TEST_CASE(another_value_of_the_same_key_and_version_is_passed_on)
{
    platform::row_packer packer;
    for (const char letter : {'a', 'b'})
    {
        platform::table_response response{.version = 7};
        response.rows.push_back({"k", std::string(50'000, letter), 7});
        const auto read =
            platform::parse_rows(platform::format_rows(response, &packer));
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read.value().rows.at(0).value.front() == letter);
    }
}

// FAULT: 4 MB of numbers, as much as an answer of the store or of another
// daemon may have, took a daemon of 260 MB over its memory.
BOOST_AUTO_TEST_CASE(rows_take_a_bounded_multiple_of_their_text)
{
    std::string text{R"({"rows":[0)"};
    while (text.size() < platform::max_rows_bytes)
    {
        text += ",0";
    }
    text += "]}";
    const auto before = most_resident_bytes();
    BOOST_TEST(!platform::parse_rows(text).has_value());
    // What such a daemon has beside bodies and connections.
    constexpr std::uint64_t rest_bytes = 65ULL * 1024 * 1024;
    BOOST_TEST(most_resident_bytes() - before <= rest_bytes);
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

// An answer that cannot be read is not taken for rows.
BOOST_DATA_TEST_CASE(unreadable_rows_are_refused, unreadable_rows)
{
    const auto rows = platform::parse_rows(sample);
    BOOST_REQUIRE(!rows.has_value());
    BOOST_TEST(
        (rows.error().code == base::result_code::platform_answer_invalid));
}

BOOST_AUTO_TEST_SUITE_END()
