// The blocks of one address family, as sorted arrays side by side.
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

// Invariant: the bits of `prefix` after `length` are zero. `prefix` holds an
// IPv4 number, or the upper 64 bits of an IPv6 one.
struct block
{
    std::uint64_t prefix{};
    std::uint8_t length{};
    blocks::family family{family::ipv4};
    site_index site{no_site};
};

// The bits of `Word` that a prefix of this length fixes.
template <class Word>
constexpr Word prefix_mask(unsigned length)
{
    constexpr unsigned bits = std::numeric_limits<Word>::digits;
    return length == 0 ? Word{0}
                       : static_cast<Word>(~Word{0} << (bits - length));
}

// Invariant: sorted by prefix, then length; each pair stands once. A parent
// is the smallest block around, and stands before what it holds.
template <class Word>
class block_side
{
public:
    static constexpr std::uint32_t no_parent = 0xffffffff;

    // `sorted` is in the order of this side, without pairs that stand twice.
    explicit block_side(std::span<const block> sorted)
    {
        prefixes_.reserve(sorted.size());
        lengths_.reserve(sorted.size());
        sites_.reserve(sorted.size());
        for (const auto& one : sorted)
        {
            prefixes_.push_back(static_cast<Word>(one.prefix));
            lengths_.push_back(one.length);
            sites_.push_back(one.site);
        }
        link_parents();
        fill_buckets();
    }

    block_side() = default;

    site_index find(Word address) const
    {
        if (prefixes_.empty())
        {
            return no_site;
        }
        const auto bucket = bucket_of(address);
        const auto after = std::upper_bound(
            prefixes_.begin() + buckets_[bucket],
            prefixes_.begin() + buckets_[bucket + 1],
            address);
        auto at =
            after == prefixes_.begin()
                ? no_parent
                : static_cast<std::uint32_t>(after - prefixes_.begin() - 1);
        while (at != no_parent && !holds(at, address))
        {
            at = parents_[at];
        }
        return at == no_parent ? no_site : sites_[at];
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

    bool holds(std::size_t index, Word address) const
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
        auto around = no_parent;
        for (std::uint32_t at = 0; at < size(); ++at)
        {
            while (around != no_parent && !holds(around, prefixes_[at]))
            {
                around = parents_[around];
            }
            parents_[at] = around;
            around = at;
        }
    }

    std::vector<Word> prefixes_;
    std::vector<std::uint8_t> lengths_;
    std::vector<site_index> sites_;
    std::vector<std::uint32_t> parents_;
    // Where the prefixes with each value of the upper bits begin; spares a
    // search most of its steps.
    std::vector<std::uint32_t> buckets_;
};

} // namespace waxwingvalve::decision::blocks
