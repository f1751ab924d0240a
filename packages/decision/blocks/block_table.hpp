// Which site serves a client's address: client blocks in compact sorted
// arrays, with longest prefix match for IPv4 and IPv6.
//
// Blocks of one family either nest or are apart. So a look-up finds the last
// block that starts at or before the address by binary search, and goes from
// there to the block around it until one holds the address. IPv6 blocks are
// at most 64 bits long.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "decision/blocks/block_side.hpp"

namespace waxwingvalve::decision::blocks
{

// Reads "10.1.0.0/16" or "2001:db8::/48". Errors: record_invalid.
base::result<block> parse_block(std::string_view text, site_index site);

// An address as look-ups want it.
struct lookup_key
{
    // As in `block::prefix`.
    std::uint64_t bits{};
    blocks::family family{family::ipv4};
};

// Nothing when the text is no IP number.
std::optional<lookup_key> parse_address(std::string_view text);

// Never changes once made, so that threads can look up while another one
// makes the next.
class block_table
{
public:
    block_table() = default;

    // Of two blocks with one prefix and length the later one stays.
    explicit block_table(std::span<const block> all);

    // no_site when no block holds the address.
    site_index find(const lookup_key& where) const
    {
        return where.family == family::ipv4
                   ? v4_.find(static_cast<std::uint32_t>(where.bits))
                   : v6_.find(where.bits);
    }

    // The table with `delta` applied; a block with no_site is taken out.
    block_table apply(std::span<const block> delta) const;

    std::size_t blocks() const { return v4_.size() + v6_.size(); }
    // Memory of the arrays.
    std::size_t bytes() const { return v4_.bytes() + v6_.bytes(); }

    // The arrays with a digest before them, for the object store.
    std::string to_snapshot() const;

    // Errors: snapshot_corrupt.
    static base::result<block_table> from_snapshot(std::string_view bytes);

private:
    block_side<std::uint32_t> v4_;
    block_side<std::uint64_t> v6_;
};

} // namespace waxwingvalve::decision::blocks
