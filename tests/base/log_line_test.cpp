#include <string>

#include <boost/test/unit_test.hpp>

#include "base/log_line.hpp"

using waxwingvalve::base::log_line;

BOOST_AUTO_TEST_SUITE(log_lines)

BOOST_AUTO_TEST_CASE(joins_pairs_by_spaces)
{
    log_line line;
    line.add("event", "decision").add("among", 3);
    const auto text = std::move(line).take();
    BOOST_TEST(text == "event=decision among=3");
}

// What a caller sends must not end the line, open a pair or close a quote.
BOOST_AUTO_TEST_CASE(escapes_what_could_forge_a_line)
{
    log_line line;
    line.add("service", "x\nevent=stopped level=\"error\"\\");
    const auto text = std::move(line).take();
    BOOST_TEST(text == R"(service="x\x0aevent=stopped level=\"error\"\\")");
}

BOOST_AUTO_TEST_CASE(quotes_the_empty_value)
{
    log_line line;
    line.add("name", "");
    const auto text = std::move(line).take();
    BOOST_TEST(text == "name=\"\"");
}

BOOST_AUTO_TEST_CASE(writes_other_bytes_as_hex)
{
    log_line line;
    line.add("name", "\xe1\x8a\xa0\x7f");
    const auto text = std::move(line).take();
    BOOST_TEST(text == R"(name="\xe1\x8a\xa0\x7f")");
}

BOOST_AUTO_TEST_SUITE_END()
