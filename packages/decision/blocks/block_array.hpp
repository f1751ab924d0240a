// Sorted array of the client blocks of one address family, stored as a
// structure of arrays.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <numeric>
#include <span>
#include <vector>

namespace waxwingvalve::decision::blocks
{

// Index into the sites of the client-blocks record.
using site_index = std::uint16_t;

inline constexpr site_index no_site = 0xffff;

enum class family : std::uint8_t
{
    ipv4,
    ipv6,
};

// An address block and the site that serves it. Invariant: the bits of `prefix`
// after the first `length` are zero. `prefix` is an IPv4 address, or the upper
// 64 bits of an IPv6 address.
struct block
{
    std::uint64_t prefix{};
    std::uint8_t length{};
    blocks::family family{family::ipv4};
    site_index site{no_site};
};

// Returns a mask of the `length` most significant bits of `Word`.
template <class Word>
constexpr Word prefix_mask(unsigned length)
{
    constexpr unsigned bits = std::numeric_limits<Word>::digits;
    return length == 0 ? Word{0}
                       : static_cast<Word>(~Word{0} << (bits - length));
}

// Invariant: sorted by prefix, then length, without duplicates. The parent of a
// block is the smallest other block that contains it, and precedes it.
template <class Word>
class block_array
{
public:
    static constexpr std::uint32_t no_parent = 0xffffffff;

    // Precondition: `sorted` is ordered by prefix, then length, and has no
    // duplicates.
    explicit block_array(std::span<const block> sorted)
    {
        prefixes_.reserve(sorted.size());
        lengths_.reserve(sorted.size());
        sites_.reserve(sorted.size());
        for (const auto& entry : sorted)
        {
            prefixes_.push_back(static_cast<Word>(entry.prefix));
            lengths_.push_back(entry.length);
            sites_.push_back(entry.site);
        }
        link_parents();
        fill_buckets();
    }

    block_array() = default;

    // Returns the site of the longest matching block, or no_site.
    site_index find(Word address) const
    {
        if (prefixes_.empty())
        {
            return no_site;
        }
        const auto bucket = bucket_of(address);
        const auto next = std::upper_bound(
            prefixes_.begin() + buckets_[bucket],
            prefixes_.begin() + buckets_[bucket + 1],
            address);
        auto index =
            next == prefixes_.begin()
                ? no_parent
                : static_cast<std::uint32_t>(next - prefixes_.begin() - 1);
        while (index != no_parent && !contains(index, address))
        {
            index = parents_[index];
        }
        return index == no_parent ? no_site : sites_[index];
    }

    std::size_t size() const { return prefixes_.size(); }

    std::size_t bytes() const
    {
        return prefixes_.capacity() * sizeof(Word) + lengths_.capacity() +
               sites_.capacity() * sizeof(site_index) +
               (parents_.capacity() + buckets_.capacity()) *
                   sizeof(std::uint32_t);
    }

    block at(std::size_t index, blocks::family family) const
    {
        return {prefixes_[index], lengths_[index], family, sites_[index]};
    }

private:
    static constexpr unsigned bucket_bits = 16;
    static constexpr std::size_t bucket_count = std::size_t{1} << bucket_bits;

    bool contains(std::size_t index, Word address) const
    {
        return ((address ^ prefixes_[index]) &
                prefix_mask<Word>(lengths_[index])) == 0;
    }

    static std::size_t bucket_of(Word address)
    {
        return address >> (std::numeric_limits<Word>::digits - bucket_bits);
    }

    void fill_buckets()
    {
        buckets_.assign(bucket_count + 1, 0);
        for (const auto prefix : prefixes_)
        {
            ++buckets_[bucket_of(prefix) + 1];
        }
        std::partial_sum(buckets_.begin(), buckets_.end(), buckets_.begin());
    }

    void link_parents()
    {
        parents_.assign(size(), no_parent);
        auto parent = no_parent;
        for (std::uint32_t index = 0; index < size(); ++index)
        {
            while (parent != no_parent && !contains(parent, prefixes_[index]))
            {
                parent = parents_[parent];
            }
            parents_[index] = parent;
            parent = index;
        }
    }

    std::vector<Word> prefixes_;
    std::vector<std::uint8_t> lengths_;
    std::vector<site_index> sites_;
    std::vector<std::uint32_t> parents_;
    // Index of the first prefix for each value of the upper bits. Narrows the
    // range of the binary search.
    std::vector<std::uint32_t> buckets_;
};

} // namespace waxwingvalve::decision::blocks
