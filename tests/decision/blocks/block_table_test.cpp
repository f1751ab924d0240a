#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "decision/blocks/block_table.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::blocks;

namespace
{

// The longest block that holds the address, by looking at each.
site_index find_slowly(const std::vector<block>& all, std::uint32_t address)
{
    site_index out = no_site;
    int longest = -1;
    for (const auto& one : all)
    {
        const auto mask = prefix_mask<std::uint32_t>(one.length);
        if ((address & mask) == one.prefix && one.length >= longest)
        {
            longest = one.length;
            out = one.site;
        }
    }
    return out;
}

block narrow_block(std::uint32_t seed)
{
    const auto length = static_cast<std::uint8_t>(seed % 33);
    // Few distinct numbers, so that blocks nest and stand twice.
    const auto bits = (seed >> 8U) * 0x01010101U;
    return {
        bits & prefix_mask<std::uint32_t>(length),
        length,
        family::ipv4,
        static_cast<site_index>(seed % 96)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(block_tables)

BOOST_AUTO_TEST_CASE(the_longest_block_wins_in_both_families)
{
    const std::vector<block> all{
        parse_block("10.0.0.0/8", 1).value(),
        parse_block("10.1.0.0/16", 2).value(),
        parse_block("2001:db8::/32", 3).value(),
        parse_block("2001:db8:0:1::/64", 4).value()};
    const block_table table{all};
    const auto site = [&](std::string_view text)
    { return table.find(parse_address(text).value()); };
    BOOST_TEST(site("10.0.255.1") == 1U);
    BOOST_TEST(site("10.1.2.3") == 2U);
    BOOST_TEST(site("10.2.0.0") == 1U);
    BOOST_TEST(site("11.0.0.0") == no_site);
    BOOST_TEST(site("2001:db8::1") == 3U);
    BOOST_TEST(site("2001:db8:0:1::9") == 4U);
    BOOST_TEST(!parse_block("10.0.0.0/33", 1).has_value());
    BOOST_TEST(!parse_block("10.0.0.0", 1).has_value());
}

BOOST_AUTO_TEST_CASE(finds_what_a_search_of_every_block_finds)
{
    const bool holds = rc::check(
        "longest prefix match",
        [](const std::vector<std::uint32_t>& seeds, std::uint32_t address)
        {
            std::vector<block> all;
            all.reserve(seeds.size());
            for (const auto seed : seeds)
            {
                all.push_back(narrow_block(seed));
            }
            const block_table table{all};
            for (const auto seed : seeds)
            {
                const auto near = (seed >> 8U) * 0x01010101U;
                RC_ASSERT(
                    table.find({near, family::ipv4}) == find_slowly(all, near));
            }
            RC_ASSERT(
                table.find({address, family::ipv4}) ==
                find_slowly(all, address));
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(a_delta_gives_what_a_whole_table_gives)
{
    const bool holds = rc::check(
        "delta",
        [](const std::vector<std::uint32_t>& first,
           const std::vector<std::uint32_t>& then)
        {
            std::vector<block> all;
            std::vector<block> delta;
            all.reserve(first.size() + then.size());
            delta.reserve(then.size());
            for (const auto seed : first)
            {
                all.push_back(narrow_block(seed));
            }
            const block_table before{all};
            for (const auto seed : then)
            {
                delta.push_back(narrow_block(seed));
                all.push_back(delta.back());
            }
            RC_ASSERT(
                before.apply(delta).to_snapshot() ==
                block_table{all}.to_snapshot());
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(a_changed_snapshot_is_refused)
{
    const std::vector<block> all{parse_block("10.0.0.0/8", 1).value()};
    auto bytes = block_table{all}.to_snapshot();
    BOOST_TEST(block_table::from_snapshot(bytes).value().blocks() == 1U);
    bytes.back() = 'x';
    const auto changed = block_table::from_snapshot(bytes);
    BOOST_TEST((changed.error().code == base::result_code::snapshot_corrupt));
    BOOST_TEST(!block_table::from_snapshot("short").has_value());
}

BOOST_AUTO_TEST_CASE(a_delta_takes_blocks_out)
{
    const std::vector<block> all{parse_block("10.0.0.0/8", 1).value()};
    const std::vector<block> delta{parse_block("10.0.0.0/8", no_site).value()};
    BOOST_TEST(block_table{all}.apply(delta).blocks() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
