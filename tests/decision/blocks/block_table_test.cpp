#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "decision/blocks/block_table.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::blocks;

namespace
{

// Finds the longest matching block by linear search.
site_index find_linear(const std::vector<block>& entries, std::uint32_t address)
{
    site_index site = no_site;
    int longest = -1;
    for (const auto& entry : entries)
    {
        const auto mask = prefix_mask<std::uint32_t>(entry.length);
        if ((address & mask) == entry.prefix && entry.length >= longest)
        {
            longest = entry.length;
            site = entry.site;
        }
    }
    return site;
}

block make_block(std::uint32_t seed)
{
    const auto length = static_cast<std::uint8_t>(seed % 33);
    // Few distinct prefixes, so that blocks nest and repeat.
    const auto bits = (seed >> 8U) * 0x01010101U;
    return {
        bits & prefix_mask<std::uint32_t>(length),
        length,
        family::ipv4,
        static_cast<site_index>(seed % 96)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(block_tables)

BOOST_AUTO_TEST_CASE(longest_prefix_matches_in_both_families)
{
    const std::vector<block> entries{
        parse_block("10.0.0.0/8", 1).value(),
        parse_block("10.1.0.0/16", 2).value(),
        parse_block("2001:db8::/32", 3).value(),
        parse_block("2001:db8:0:1::/64", 4).value()};
    const block_table table{entries};
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

BOOST_AUTO_TEST_CASE(look_up_agrees_with_linear_search)
{
    const bool passed = rc::check(
        "longest prefix match",
        [](const std::vector<std::uint32_t>& seeds, std::uint32_t address)
        {
            std::vector<block> entries;
            entries.reserve(seeds.size());
            for (const auto seed : seeds)
            {
                entries.push_back(make_block(seed));
            }
            const block_table table{entries};
            for (const auto seed : seeds)
            {
                const auto nearby_address = (seed >> 8U) * 0x01010101U;
                RC_ASSERT(
                    table.find({nearby_address, family::ipv4}) ==
                    find_linear(entries, nearby_address));
            }
            RC_ASSERT(
                table.find({address, family::ipv4}) ==
                find_linear(entries, address));
        });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(applied_delta_equals_rebuilt_table)
{
    const bool passed = rc::check(
        "delta",
        [](const std::vector<std::uint32_t>& first,
           const std::vector<std::uint32_t>& second)
        {
            std::vector<block> entries;
            std::vector<block> delta;
            entries.reserve(first.size() + second.size());
            delta.reserve(second.size());
            for (const auto seed : first)
            {
                entries.push_back(make_block(seed));
            }
            const block_table before{entries};
            for (const auto seed : second)
            {
                delta.push_back(make_block(seed));
                entries.push_back(delta.back());
            }
            RC_ASSERT(
                before.apply(delta).to_snapshot() ==
                block_table{entries}.to_snapshot());
        });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(modified_snapshot_is_rejected)
{
    const std::vector<block> entries{parse_block("10.0.0.0/8", 1).value()};
    auto bytes = block_table{entries}.to_snapshot();
    BOOST_TEST(block_table::from_snapshot(bytes).value().blocks() == 1U);
    bytes.back() = 'x';
    const auto changed = block_table::from_snapshot(bytes);
    BOOST_TEST((changed.error().code == base::result_code::snapshot_corrupt));
    BOOST_TEST(!block_table::from_snapshot("short").has_value());
}

BOOST_AUTO_TEST_CASE(delta_removes_blocks)
{
    const std::vector<block> entries{parse_block("10.0.0.0/8", 1).value()};
    const std::vector<block> delta{parse_block("10.0.0.0/8", no_site).value()};
    BOOST_TEST(block_table{entries}.apply(delta).blocks() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
