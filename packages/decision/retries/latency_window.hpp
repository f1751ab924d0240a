// How long a service's answers took lately, as percentiles.
//
// A histogram of fixed size stands for any number of samples: steps of an
// eighth of a power of two, so a percentile is at most one eighth too high.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace waxwingvalve::decision::retries
{

// Samples of the last one to two spans; older ones are forgotten.
class latency_window
{
public:
    static constexpr base::duration span = std::chrono::seconds{10};
    static constexpr std::uint32_t least_samples = 20;

    void add(base::duration took, base::instant now);

    // Upper bound of the time that `percent` of the samples took. Nothing
    // with less than `least_samples`.
    std::optional<base::duration> percentile(
        std::uint32_t percent, base::instant now) const;

private:
    static constexpr std::uint32_t step_bits = 3;
    static constexpr std::size_t steps = 1U << step_bits;
    static constexpr std::size_t octaves = 32;
    static constexpr std::size_t buckets = steps * octaves;
    using counts = std::array<std::uint32_t, buckets>;

    static std::size_t bucket_of(base::duration took);
    static base::duration upper_bound_of(std::size_t bucket);
    void advance(base::instant now);

    counts current_{};
    counts before_{};
    base::instant begin_{};
};

// Latencies of one service, kept apart by the worker or peer that answered.
//
// The service's percentile is the median of its targets' own percentiles: one
// slow target out of twelve would lift a common percentile to its own time,
// and then nothing would ever be hedged; when all are slow together the
// median rises with them and hedging does not add to the load.
class service_latency
{
public:
    static constexpr std::size_t most_targets = 512;

    void add(std::string_view target, base::duration took, base::instant now);

    // Nothing while no target has enough samples.
    std::optional<base::duration> typical(
        std::uint32_t percent, base::instant now) const;

    // The lowest of the targets' own percentiles.
    std::optional<base::duration> fastest(
        std::uint32_t percent, base::instant now) const;

private:
    std::vector<base::duration> percentiles(
        std::uint32_t percent, base::instant now) const;

    std::map<std::string, latency_window, std::less<>> targets_;
};

} // namespace waxwingvalve::decision::retries
