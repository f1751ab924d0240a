// The client-blocks table at 1.2 million blocks and 96 sites: memory, look-ups
// a second of one core, time to load and to apply a delta. Run by hand.
#include <chrono>
#include <cstdint>
#include <ctime>
#include <random>
#include <vector>

#include <fmt/format.h>

#include "decision/blocks/block_table.hpp"

namespace
{

using namespace waxwingvalve::decision::blocks;

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t blocks_wanted = 1'200'000;
constexpr std::size_t delta_blocks = 1'000;
constexpr std::size_t look_ups = 20'000'000;
constexpr unsigned sites = 96;

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Four blocks of IPv4 from /16 to /28 for one of IPv6 from /32 to /56.
block make_block(std::mt19937_64& random)
{
    const auto site = static_cast<site_index>(random() % sites);
    if (random() % 5 != 0)
    {
        const auto length = static_cast<std::uint8_t>(16 + random() % 13);
        const auto bits = static_cast<std::uint32_t>(random());
        return {
            bits & prefix_mask<std::uint32_t>(length),
            length,
            family::ipv4,
            site};
    }
    const auto length = static_cast<std::uint8_t>(32 + random() % 25);
    const auto bits = 0x2000000000000000U | random() >> 3U;
    return {
        bits & prefix_mask<std::uint64_t>(length), length, family::ipv6, site};
}

std::vector<block> make_blocks(std::mt19937_64& random, std::size_t count)
{
    std::vector<block> out;
    out.reserve(count);
    while (out.size() < count)
    {
        out.push_back(make_block(random));
    }
    return out;
}

void measure_look_ups(const block_table& table, std::mt19937_64& random)
{
    constexpr std::size_t addresses = 1U << 20U;
    std::vector<lookup_key> asked;
    for (std::size_t at = 0; at < addresses; ++at)
    {
        const auto near = make_block(random);
        asked.push_back({near.prefix | random() % 16, near.family});
    }
    std::uint64_t sum = 0;
    const auto start = processor_seconds();
    for (std::size_t at = 0; at < look_ups; ++at)
    {
        sum += table.find(asked[at % addresses]);
    }
    const auto spent = processor_seconds() - start;
    fmt::print(
        "look-ups: {:.2f} million/s of one core (sum {})\n",
        static_cast<double>(look_ups) / spent / 1e6,
        sum);
}

} // namespace

int main()
{
    std::mt19937_64 random{seed};
    const block_table made{make_blocks(random, blocks_wanted)};
    const auto snapshot = made.to_snapshot();
    fmt::print("seed {}, snapshot {} bytes\n", seed, snapshot.size());

    auto start = processor_seconds();
    const auto loaded = block_table::from_snapshot(snapshot);
    const auto& table = loaded.value();
    fmt::print(
        "load: {:.0f} ms, {} blocks, {:.2f} bytes a block\n",
        (processor_seconds() - start) * 1000,
        table.blocks(),
        static_cast<double>(table.bytes()) /
            static_cast<double>(table.blocks()));

    const auto delta = make_blocks(random, delta_blocks);
    start = processor_seconds();
    const auto changed = table.apply(delta);
    fmt::print(
        "delta of {}: {:.0f} ms, {} blocks\n",
        delta_blocks,
        (processor_seconds() - start) * 1000,
        changed.blocks());
    measure_look_ups(changed, random);
}
