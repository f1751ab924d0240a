// Maps a client's address to the site that serves it, by longest prefix match
// over the client blocks.
//
// Two blocks of one family either nest or are disjoint. A look-up therefore
// finds the last block that starts at or before the address by binary search
// and follows the parents from there to the first block that contains the
// address. IPv6 prefixes are at most 64 bits long.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "decision/blocks/block_array.hpp"

namespace waxwingvalve::decision::blocks
{

// Parses "10.1.0.0/16" or "2001:db8::/48". Errors: record_invalid.
base::result<block> parse_block(std::string_view text, site_index site);

// An IP address in the form used for look-ups.
struct lookup_key
{
    // Encoded as in `block::prefix`.
    std::uint64_t bits{};
    blocks::family family{family::ipv4};
};

// Returns nothing if the text is not an IP address.
std::optional<lookup_key> parse_address(std::string_view text);

// Immutable, so that threads can look addresses up while another one builds a
// new table.
class block_table
{
public:
    block_table() = default;

    // If several blocks have the same prefix and length, the last one is used.
    explicit block_table(std::span<const block> entries);

    // Returns no_site if no block contains the address.
    site_index find(const lookup_key& address) const
    {
        return address.family == family::ipv4
                   ? v4_.find(static_cast<std::uint32_t>(address.bits))
                   : v6_.find(address.bits);
    }

    // Returns the table with `delta` applied. A block with no_site is removed.
    block_table apply(std::span<const block> delta) const;

    // Number of blocks.
    std::size_t blocks() const { return v4_.size() + v6_.size(); }
    // Memory used by the arrays, in bytes.
    std::size_t bytes() const { return v4_.bytes() + v6_.bytes(); }

    // Returns the blocks, preceded by a digest, for the object store.
    std::string to_snapshot() const;

    // Errors: snapshot_corrupt.
    static base::result<block_table> from_snapshot(std::string_view bytes);

private:
    block_array<std::uint32_t> v4_;
    block_array<std::uint64_t> v6_;
};

} // namespace waxwingvalve::decision::blocks
