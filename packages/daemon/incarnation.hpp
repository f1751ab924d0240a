// The number that tells one start of a daemon from any other of its name.
#pragma once

#include <chrono>
#include <cstdint>

namespace waxwingvalve::daemon
{

// Microseconds of the system clock at the start of this process. Two starts
// of one name get the same number only when the clock is set back to the very
// microsecond of the earlier one.
inline std::uint64_t make_incarnation()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

} // namespace waxwingvalve::daemon
