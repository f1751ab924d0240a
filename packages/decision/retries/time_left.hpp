// Decisions that depend on the time left until a request's deadline.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.hpp"

namespace waxwingvalve::decision::retries
{

// Minimum time in which an answer can arrive over any link of a deployment.
inline constexpr base::duration min_time_left = std::chrono::milliseconds{1};

// Returns false if even the fastest recent answers took longer than the time
// left, as running the request would then waste a slot.
inline bool can_meet_deadline(
    base::duration time_left, std::optional<base::duration> fastest)
{
    return time_left >= min_time_left && (!fastest || *fastest <= time_left);
}

// Delay after which a hedged second attempt may start: the service's high
// percentile. Returns nullopt if the second attempt could not end in time.
inline std::optional<base::duration> hedge_delay(
    base::duration time_left, std::optional<base::duration> high_percentile)
{
    if (!high_percentile || 2 * *high_percentile > time_left)
    {
        return std::nullopt;
    }
    return high_percentile;
}

// Time after which an unanswered attempt counts as stalled; leaves half of
// the remaining time for another attempt.
inline base::duration stall_timeout(base::duration time_left)
{
    return time_left / 2;
}

// Deadline to send to the next hop, in whole milliseconds, rounded down.
inline std::int64_t forwarded_deadline_ms(base::duration time_left)
{
    return base::to_milliseconds(time_left);
}

} // namespace waxwingvalve::decision::retries
