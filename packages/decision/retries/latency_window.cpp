#include "decision/retries/latency_window.hpp"

#include <algorithm>
#include <bit>
#include <numeric>

namespace waxwingvalve::decision::retries
{

namespace
{

constexpr std::uint64_t percent_scale = 100;

} // namespace

std::size_t latency_window::bucket_of(base::duration latency)
{
    const auto micros = static_cast<std::uint64_t>(std::max<std::int64_t>(
        0,
        std::chrono::duration_cast<std::chrono::microseconds>(latency)
            .count()));
    if (micros < steps)
    {
        return micros;
    }
    const auto shift =
        static_cast<std::uint32_t>(std::bit_width(micros)) - 1 - step_bits;
    const auto step = (micros >> shift) - steps;
    return std::min<std::size_t>(buckets - 1, (shift + 1) * steps + step);
}

base::duration latency_window::upper_bound_of(std::size_t bucket)
{
    if (bucket < steps)
    {
        return std::chrono::microseconds{bucket + 1};
    }
    const auto shift = bucket / steps - 1;
    const std::uint64_t step = bucket % steps + steps;
    return std::chrono::microseconds{(step + 1) << shift};
}

void latency_window::advance(base::instant now)
{
    if (now - current_since_ < rotation_interval)
    {
        return;
    }
    const bool next = now - current_since_ < 2 * rotation_interval;
    previous_ = next ? current_ : counts{};
    current_ = {};
    current_since_ = now;
}

void latency_window::add(base::duration latency, base::instant now)
{
    advance(now);
    ++current_[bucket_of(latency)];
}

std::optional<base::duration> latency_window::percentile(
    std::uint32_t percent, base::instant now) const
{
    if (now - current_since_ >= 2 * rotation_interval)
    {
        return std::nullopt;
    }
    const auto sum = [](const counts& in)
    { return std::accumulate(in.begin(), in.end(), std::uint64_t{0}); };
    const auto total = sum(current_) + sum(previous_);
    if (total < min_samples)
    {
        return std::nullopt;
    }
    const auto target_rank =
        (total * percent + percent_scale - 1) / percent_scale;
    std::uint64_t cumulative{};
    std::size_t bucket{};
    for (; bucket + 1 < buckets; ++bucket)
    {
        cumulative += current_[bucket] + previous_[bucket];
        if (cumulative >= target_rank && cumulative > 0)
        {
            break;
        }
    }
    return upper_bound_of(bucket);
}

void service_latency::add(
    std::string_view target, base::duration latency, base::instant now)
{
    auto found = targets_.find(target);
    if (found == targets_.end())
    {
        if (targets_.size() >= max_targets)
        {
            return;
        }
        found = targets_.emplace(target, latency_window{}).first;
    }
    found->second.add(latency, now);
}

std::vector<base::duration> service_latency::percentiles(
    std::uint32_t percent, base::instant now) const
{
    std::vector<base::duration> values;
    for (const auto& [target, window] : targets_)
    {
        if (const auto value = window.percentile(percent, now))
        {
            values.push_back(*value);
        }
    }
    return values;
}

std::optional<base::duration> service_latency::median_percentile(
    std::uint32_t percent, base::instant now) const
{
    auto known = percentiles(percent, now);
    if (known.empty())
    {
        return std::nullopt;
    }
    const auto middle =
        known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::ranges::nth_element(known, middle);
    return *middle;
}

std::optional<base::duration> service_latency::lowest_percentile(
    std::uint32_t percent, base::instant now) const
{
    const auto known = percentiles(percent, now);
    if (known.empty())
    {
        return std::nullopt;
    }
    return *std::ranges::min_element(known);
}

} // namespace waxwingvalve::decision::retries
