// The time types of the project and the clock that threads read.
//
// Decision code never reads a clock: it is given `now`. Only duties call
// monotonic_clock::now().
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace waxwingvalve::base
{

using monotonic_clock = std::chrono::steady_clock;
// A point on the monotonic clock of this process; means nothing elsewhere.
using instant = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

inline std::int64_t to_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Reads "250ms" or "2.5s"; nothing when the text is no time.
std::optional<std::chrono::milliseconds> parse_time(std::string_view text);

} // namespace waxwingvalve::base
