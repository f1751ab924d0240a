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

constexpr unsigned v4_bits = 32;
constexpr unsigned v6_bits = 64;
constexpr std::size_t digest_bytes = sizeof(std::uint64_t);
// Family, length, site and prefix, in the byte order of x86 and ARM.
constexpr std::size_t row_bytes = 12;

auto order(const block& one)
{
    return std::tuple{one.family, one.prefix, one.length};
}

struct before
{
    bool operator()(const block& left, const block& right) const
    {
        return order(left) < order(right);
    }
};

// Sorted, with the last of equal pairs.
std::vector<block> sort_blocks(std::span<const block> all)
{
    std::vector<block> out{all.begin(), all.end()};
    std::stable_sort(out.begin(), out.end(), before{});
    std::size_t kept = 0;
    for (std::size_t at = 0; at < out.size(); ++at)
    {
        if (kept > 0 && order(out[kept - 1]) == order(out[at]))
        {
            --kept;
        }
        out[kept] = out[at];
        ++kept;
    }
    out.resize(kept);
    return out;
}

std::span<const block> family_of(std::span<const block> sorted, family which)
{
    const auto middle = std::partition_point(
        sorted.begin(),
        sorted.end(),
        [](const block& one) { return one.family == family::ipv4; });
    const auto count = static_cast<std::size_t>(middle - sorted.begin());
    return which == family::ipv4 ? sorted.first(count) : sorted.subspan(count);
}

template <class Word>
void append_blocks(
    std::vector<block>& out, const block_array<Word>& side, family which)
{
    for (std::size_t at = 0; at < side.size(); ++at)
    {
        out.push_back(side.at(at, which));
    }
}

// The number of so many bytes in network order.
std::uint64_t number_of(std::span<const unsigned char> bytes)
{
    std::uint64_t out{};
    for (const auto byte : bytes)
    {
        out = out << 8U | byte;
    }
    return out;
}

} // namespace

std::optional<lookup_key> parse_address(std::string_view text)
{
    const std::string copy{text};
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    if (inet_pton(AF_INET, copy.c_str(), bytes.data()) == 1)
    {
        const auto number = number_of({bytes.data(), sizeof(in_addr)});
        return lookup_key{number, family::ipv4};
    }
    if (inet_pton(AF_INET6, copy.c_str(), bytes.data()) == 1)
    {
        const auto number = number_of({bytes.data(), v6_bits / 8});
        return lookup_key{number, family::ipv6};
    }
    return std::nullopt;
}

base::result<block> parse_block(std::string_view text, site_index site)
{
    const auto slash = text.find('/');
    const auto address = parse_address(text.substr(0, slash));
    unsigned length = v6_bits + 1;
    if (slash != std::string_view::npos)
    {
        const auto* end = text.data() + text.size();
        const auto [stop, failure] =
            std::from_chars(text.data() + slash + 1, end, length);
        length = stop == end ? length : v6_bits + 1;
    }
    const auto bits =
        address && address->family == family::ipv4 ? v4_bits : v6_bits;
    if (!address || length > bits)
    {
        return fail(
            result_code::record_invalid,
            "expected a block as 10.1.0.0/16, found \"" + std::string{text} +
                "\"");
    }
    const auto mask = bits == v4_bits
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
    v4_ = block_array<std::uint32_t>{family_of(sorted, family::ipv4)};
    v6_ = block_array<std::uint64_t>{family_of(sorted, family::ipv6)};
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
    for (const auto& one : own)
    {
        while (change != changes.end() && before{}(*change, one))
        {
            merged.push_back(*change++);
        }
        const bool replaced =
            change != changes.end() && order(*change) == order(one);
        merged.push_back(replaced ? *change++ : one);
    }
    merged.insert(merged.end(), change, changes.end());
    std::erase_if(merged, [](const block& one) { return one.site == no_site; });
    block_table out;
    out.v4_ = block_array<std::uint32_t>{family_of(merged, family::ipv4)};
    out.v6_ = block_array<std::uint64_t>{family_of(merged, family::ipv6)};
    return out;
}

std::string block_table::to_snapshot() const
{
    std::vector<block> all;
    all.reserve(blocks());
    append_blocks(all, v4_, family::ipv4);
    append_blocks(all, v6_, family::ipv6);
    std::string out(digest_bytes + all.size() * row_bytes, '\0');
    auto* row = out.data() + digest_bytes;
    for (const auto& one : all)
    {
        row[0] = static_cast<char>(one.family);
        row[1] = static_cast<char>(one.length);
        std::memcpy(row + 2, &one.site, sizeof(one.site));
        std::memcpy(row + 4, &one.prefix, sizeof(one.prefix));
        row += row_bytes;
    }
    const std::uint64_t digest =
        XXH3_64bits(out.data() + digest_bytes, out.size() - digest_bytes);
    std::memcpy(out.data(), &digest, sizeof(digest));
    return out;
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
    std::vector<block> all(rows.size() / row_bytes);
    const auto* row = rows.data();
    for (auto& one : all)
    {
        one.family = row[0] == 0 ? family::ipv4 : family::ipv6;
        one.length = static_cast<std::uint8_t>(row[1]);
        std::memcpy(&one.site, row + 2, sizeof(one.site));
        std::memcpy(&one.prefix, row + 4, sizeof(one.prefix));
        if (one.length > (one.family == family::ipv4 ? v4_bits : v6_bits))
        {
            return fail(result_code::snapshot_corrupt, "prefix length");
        }
        row += row_bytes;
    }
    return block_table{all};
}

} // namespace waxwingvalve::decision::blocks
