// When refused callers may return to a service whose workers all limit their
// request rate.
//
// Load pattern: callers are refused faster than the workers take requests. With
// equal times they would return in one wave and be refused again, so each gets
// a later turn than the one before it.
#pragma once

#include <algorithm>
#include <chrono>

#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

class return_schedule
{
public:
    // A longer time is cut to this: callers have given up by then, and limits
    // change.
    static constexpr std::chrono::seconds max_wait{20};

    // Returns the time until the next turn, at `requests_per_s` turns a second.
    base::duration next(double requests_per_s, base::instant now)
    {
        const std::chrono::duration<double> span{1.0 / requests_per_s};
        const auto interval = std::chrono::duration_cast<base::duration>(
            std::min(span, std::chrono::duration<double>{max_wait}));
        last_turn_ = std::clamp(
            std::max(last_turn_, now) + interval, now, now + max_wait);
        return last_turn_ - now;
    }

private:
    base::instant last_turn_{};
};

} // namespace waxwingvalve::decision::steering
