// Percentiles of a service's recent latencies.
//
// Samples are kept in a histogram of fixed size with eight buckets for each
// power of two, so a percentile is at most one eighth too high.
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

// Latency histogram over a sliding window of one to two rotation intervals;
// older samples are discarded.
class latency_window
{
public:
    static constexpr base::duration rotation_interval =
        std::chrono::seconds{10};
    static constexpr std::uint32_t min_samples = 20;

    void add(base::duration latency, base::instant now);

    // Upper bound of the given percentile, or nullopt with fewer than
    // `min_samples` samples.
    std::optional<base::duration> percentile(
        std::uint32_t percent, base::instant now) const;

private:
    static constexpr std::uint32_t step_bits = 3;
    static constexpr std::size_t steps = 1U << step_bits;
    static constexpr std::size_t octaves = 32;
    static constexpr std::size_t buckets = steps * octaves;
    using counts = std::array<std::uint32_t, buckets>;

    static std::size_t bucket_of(base::duration latency);
    static base::duration upper_bound_of(std::size_t bucket);
    void advance(base::instant now);

    counts current_{};
    counts previous_{};
    base::instant current_since_{};
};

// Latencies of one service, by the worker or peer that answered.
//
// The hedging threshold is the median of the targets' percentiles. With a
// common histogram, one slow target out of twelve would raise the percentile
// to its own latency and nothing would be hedged. If all targets are slow, the
// median rises with them, so hedging adds no load.
class service_latency
{
public:
    static constexpr std::size_t max_targets = 512;

    void add(
        std::string_view target, base::duration latency, base::instant now);

    // Median of the targets' percentiles, or nullopt while no target has
    // enough samples.
    std::optional<base::duration> median_percentile(
        std::uint32_t percent, base::instant now) const;

    // Lowest of the targets' percentiles, or nullopt as above.
    std::optional<base::duration> lowest_percentile(
        std::uint32_t percent, base::instant now) const;

private:
    std::vector<base::duration> percentiles(
        std::uint32_t percent, base::instant now) const;

    std::map<std::string, latency_window, std::less<>> targets_;
};

} // namespace waxwingvalve::decision::retries
