// Numbers in text: the whole text or nothing.
#include <boost/test/unit_test.hpp>

#include <cstdint>

#include "base/number.hpp"

using waxwingvalve::base::parse_number;

BOOST_AUTO_TEST_SUITE(numbers)

BOOST_AUTO_TEST_CASE(the_whole_text_is_read)
{
    BOOST_TEST(parse_number<std::uint64_t>("0").value() == 0U);
    BOOST_TEST(parse_number<std::uint64_t>("4000").value() == 4'000U);
    BOOST_TEST(parse_number<std::int64_t>("-3").value() == -3);
}

BOOST_AUTO_TEST_CASE(anything_else_is_no_number)
{
    for (const auto* text : {"", " 1", "1 ", "12x", "x", "+1", "1.5", "-1"})
    {
        BOOST_TEST_CONTEXT("text \"" << text << '"')
        BOOST_TEST(!parse_number<std::uint64_t>(text).has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_number_that_does_not_fit_is_none)
{
    BOOST_TEST(!parse_number<std::uint8_t>("256").has_value());
    BOOST_TEST(parse_number<std::uint8_t>("255").value() == 255);
}

BOOST_AUTO_TEST_SUITE_END()
