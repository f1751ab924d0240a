// The time types of the project and the clock that threads read.
//
// Decision code never reads a clock: it is given `now`. Only duties call
// monotonic_clock::now().
#pragma once

#include <chrono>
#include <cstdint>

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

} // namespace waxwingvalve::base
