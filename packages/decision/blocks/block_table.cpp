#include "decision/blocks/block_table.hpp"

#include <array>
#include <charconv>
#include <cstring>
#include <tuple>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <xxhash.h>

namespace waxwingvalve::decision::blocks
{
namespace
{

using base::fail;
using base::result_code;

constexpr unsigned ipv4_bits = 32;
constexpr unsigned max_ipv6_prefix_bits = 64;
constexpr std::size_t digest_bytes = sizeof(std::uint64_t);
// Family (1 byte), length (1), site (2) and prefix (8), in host byte order:
// little-endian on x86 and ARM.
constexpr std::size_t row_bytes = 12;

auto sort_key(const block& entry)
{
    return std::tuple{entry.family, entry.prefix, entry.length};
}

struct block_less
{
    bool operator()(const block& left, const block& right) const
    {
        return sort_key(left) < sort_key(right);
    }
};

// Returns the blocks sorted, with the last one of those that have the same
// family, prefix and length.
std::vector<block> sort_blocks(std::span<const block> entries)
{
    std::vector<block> blocks{entries.begin(), entries.end()};
    std::stable_sort(blocks.begin(), blocks.end(), block_less{});
    std::size_t kept = 0;
    for (std::size_t index = 0; index < blocks.size(); ++index)
    {
        if (kept > 0 && sort_key(blocks[kept - 1]) == sort_key(blocks[index]))
        {
            --kept;
        }
        blocks[kept] = blocks[index];
        ++kept;
    }
    blocks.resize(kept);
    return blocks;
}

std::span<const block> blocks_of_family(
    std::span<const block> sorted, family wanted)
{
    const auto middle = std::partition_point(
        sorted.begin(),
        sorted.end(),
        [](const block& entry) { return entry.family == family::ipv4; });
    const auto count = static_cast<std::size_t>(middle - sorted.begin());
    return wanted == family::ipv4 ? sorted.first(count) : sorted.subspan(count);
}

template <class Word>
void append_blocks(
    std::vector<block>& blocks, const block_array<Word>& array, family wanted)
{
    for (std::size_t index = 0; index < array.size(); ++index)
    {
        blocks.push_back(array.at(index, wanted));
    }
}

// Returns the number that the bytes encode in network byte order.
std::uint64_t read_big_endian(std::span<const unsigned char> bytes)
{
    std::uint64_t number{};
    for (const auto byte : bytes)
    {
        number = number << 8U | byte;
    }
    return number;
}

} // namespace

std::optional<lookup_key> parse_address(std::string_view text)
{
    const std::string copy{text};
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    if (inet_pton(AF_INET, copy.c_str(), bytes.data()) == 1)
    {
        const auto number = read_big_endian({bytes.data(), sizeof(in_addr)});
        return lookup_key{number, family::ipv4};
    }
    if (inet_pton(AF_INET6, copy.c_str(), bytes.data()) == 1)
    {
        const auto number =
            read_big_endian({bytes.data(), max_ipv6_prefix_bits / 8});
        return lookup_key{number, family::ipv6};
    }
    return std::nullopt;
}

base::result<block> parse_block(std::string_view text, site_index site)
{
    const auto slash = text.find('/');
    const auto address = parse_address(text.substr(0, slash));
    unsigned length = max_ipv6_prefix_bits + 1;
    if (slash != std::string_view::npos)
    {
        const auto* end = text.data() + text.size();
        const auto [parsed_end, failure] =
            std::from_chars(text.data() + slash + 1, end, length);
        length = parsed_end == end ? length : max_ipv6_prefix_bits + 1;
    }
    const auto bits = address && address->family == family::ipv4
                          ? ipv4_bits
                          : max_ipv6_prefix_bits;
    if (!address || length > bits)
    {
        return fail(
            result_code::record_invalid,
            "expected a block such as 10.1.0.0/16, found \"" +
                std::string{text} + "\"");
    }
    const auto mask = bits == ipv4_bits
                          ? std::uint64_t{prefix_mask<std::uint32_t>(length)}
                          : prefix_mask<std::uint64_t>(length);
    return block{
        address->bits & mask,
        static_cast<std::uint8_t>(length),
        address->family,
        site};
}

block_table::block_table(std::span<const block> entries)
{
    const auto sorted = sort_blocks(entries);
    v4_ = block_array<std::uint32_t>{blocks_of_family(sorted, family::ipv4)};
    v6_ = block_array<std::uint64_t>{blocks_of_family(sorted, family::ipv6)};
}

block_table block_table::apply(std::span<const block> delta) const
{
    std::vector<block> own;
    own.reserve(blocks());
    append_blocks(own, v4_, family::ipv4);
    append_blocks(own, v6_, family::ipv6);
    const auto changes = sort_blocks(delta);
    std::vector<block> merged;
    merged.reserve(own.size() + changes.size());
    auto change = changes.begin();
    for (const auto& entry : own)
    {
        while (change != changes.end() && block_less{}(*change, entry))
        {
            merged.push_back(*change++);
        }
        const bool replaced =
            change != changes.end() && sort_key(*change) == sort_key(entry);
        merged.push_back(replaced ? *change++ : entry);
    }
    merged.insert(merged.end(), change, changes.end());
    std::erase_if(
        merged, [](const block& entry) { return entry.site == no_site; });
    block_table table;
    table.v4_ =
        block_array<std::uint32_t>{blocks_of_family(merged, family::ipv4)};
    table.v6_ =
        block_array<std::uint64_t>{blocks_of_family(merged, family::ipv6)};
    return table;
}

std::string block_table::to_snapshot() const
{
    std::vector<block> entries;
    entries.reserve(blocks());
    append_blocks(entries, v4_, family::ipv4);
    append_blocks(entries, v6_, family::ipv6);
    std::string snapshot(digest_bytes + entries.size() * row_bytes, '\0');
    auto* row = snapshot.data() + digest_bytes;
    for (const auto& entry : entries)
    {
        row[0] = static_cast<char>(entry.family);
        row[1] = static_cast<char>(entry.length);
        std::memcpy(row + 2, &entry.site, sizeof(entry.site));
        std::memcpy(row + 4, &entry.prefix, sizeof(entry.prefix));
        row += row_bytes;
    }
    const std::uint64_t digest = XXH3_64bits(
        snapshot.data() + digest_bytes, snapshot.size() - digest_bytes);
    std::memcpy(snapshot.data(), &digest, sizeof(digest));
    return snapshot;
}

base::result<block_table> block_table::from_snapshot(std::string_view bytes)
{
    if (bytes.size() < digest_bytes ||
        (bytes.size() - digest_bytes) % row_bytes != 0)
    {
        return fail(result_code::snapshot_corrupt, "length");
    }
    std::uint64_t digest{};
    std::memcpy(&digest, bytes.data(), sizeof(digest));
    const auto rows = bytes.substr(digest_bytes);
    if (digest != XXH3_64bits(rows.data(), rows.size()))
    {
        return fail(result_code::snapshot_corrupt, "digest");
    }
    std::vector<block> entries(rows.size() / row_bytes);
    const auto* row = rows.data();
    for (auto& entry : entries)
    {
        entry.family = row[0] == 0 ? family::ipv4 : family::ipv6;
        entry.length = static_cast<std::uint8_t>(row[1]);
        std::memcpy(&entry.site, row + 2, sizeof(entry.site));
        std::memcpy(&entry.prefix, row + 4, sizeof(entry.prefix));
        if (entry.length >
            (entry.family == family::ipv4 ? ipv4_bits : max_ipv6_prefix_bits))
        {
            return fail(result_code::snapshot_corrupt, "prefix length");
        }
        row += row_bytes;
    }
    return block_table{entries};
}

} // namespace waxwingvalve::decision::blocks
