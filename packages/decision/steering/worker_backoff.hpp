// The time for which a worker wants no requests from this daemon, as it said
// with a refusal.
//
// Load pattern: the workers of a service all refuse at once and name the same
// time. When it ends, each daemon sends a worker one request at a time until
// one is answered without a new refusal of this kind, so that the fleet does
// not return to it in one wave.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

class worker_backoff
{
public:
    // A longer time is cut to this; by its end the worker has mostly been
    // replaced.
    static constexpr base::duration max_time{std::chrono::minutes{10}};

    // The worker wants nothing for `time` from `now` on. The longest of all
    // such times holds.
    void begin(base::duration time, base::instant now)
    {
        const auto bounded = std::clamp(time, base::duration{}, max_time);
        until_ = std::max(until_, now + bounded);
        resuming_ = true;
    }

    // A request was answered without a new refusal of this kind.
    void end_resume(base::instant now) { resuming_ = resuming_ && active(now); }

    // No request may be sent at all.
    bool active(base::instant now) const { return now < until_; }

    // Whether a request may be sent beside `in_flight` own ones.
    bool allows(std::uint32_t in_flight, base::instant now) const
    {
        return !active(now) && (!resuming_ || in_flight == 0);
    }

    base::duration left(base::instant now) const
    {
        return std::max(until_ - now, base::duration{});
    }

private:
    base::instant until_{};
    bool resuming_{false};
};

} // namespace waxwingvalve::decision::steering
