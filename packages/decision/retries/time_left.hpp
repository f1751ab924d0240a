// What the time that is left for a request allows.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.hpp"

namespace waxwingvalve::decision::retries
{

// Below this no answer can come back over any link of a deployment.
inline constexpr base::duration least_time = std::chrono::milliseconds{1};

// False when even the fastest answers of late took longer than what is left;
// running the request would waste a slot.
inline bool can_make_deadline(
    base::duration left, std::optional<base::duration> fastest)
{
    return left >= least_time && (!fastest || *fastest <= left);
}

// When a second attempt may start beside an unanswered first one: past the
// service's own high percentile, if the second can still end in time.
inline std::optional<base::duration> hedge_after(
    base::duration left, std::optional<base::duration> high_percentile)
{
    if (!high_percentile || 2 * *high_percentile > left)
    {
        return std::nullopt;
    }
    return high_percentile;
}

// When an unanswered attempt counts as stalled: half of what is left stays
// for another one.
inline base::duration stalled_after(base::duration left)
{
    return left / 2;
}

// The deadline that the next hop is told, in whole milliseconds, rounded
// down.
inline std::int64_t deadline_to_pass_on(base::duration left)
{
    return base::to_milliseconds(left);
}

} // namespace waxwingvalve::decision::retries
