// Tests of the compression of bytes between daemons.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <string_view>

#include "base/compression.hpp"

using namespace waxwingvalve::base;

namespace
{

constexpr std::size_t max_bytes = 100'000;
constexpr std::array no_compressed_bytes{"", "x", "plain text", "\x78\x01"};

} // namespace

BOOST_AUTO_TEST_SUITE(compressed_bytes)

BOOST_AUTO_TEST_CASE(bytes_are_the_same_afterwards)
{
    for (const std::size_t size : {0U, 1U, 16'383U, 16'384U, 100'000U})
    {
        std::string bytes(size, 'a');
        for (std::size_t i = 0; i < size; i += 7)
        {
            bytes[i] = static_cast<char>(i * 31);
        }
        BOOST_TEST((decompress(compress(bytes), max_bytes) == bytes));
    }
}

// Guards against memory without end: a few bytes can stand for a thousand times
// as many.
BOOST_AUTO_TEST_CASE(more_bytes_than_allowed_are_refused)
{
    const auto compressed = compress(std::string(max_bytes + 1, 'a'));
    BOOST_TEST(compressed.size() < 1'000U);
    BOOST_TEST(!decompress(compressed, max_bytes));
    BOOST_TEST(decompress(compressed, max_bytes + 1).has_value());
}

BOOST_DATA_TEST_CASE(other_bytes_are_refused, no_compressed_bytes)
{
    BOOST_TEST(!decompress(sample, max_bytes));
}

BOOST_AUTO_TEST_CASE(a_part_and_bytes_behind_the_end_are_refused)
{
    const auto compressed = compress("the whole");
    BOOST_TEST(!decompress(
        std::string_view{compressed}.substr(0, compressed.size() - 1),
        max_bytes));
    BOOST_TEST(!decompress(compressed + 'x', max_bytes));
}

BOOST_AUTO_TEST_SUITE_END()
