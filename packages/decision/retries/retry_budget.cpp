#include "decision/retries/retry_budget.hpp"

#include <algorithm>

namespace waxwingvalve::decision::retries
{

void retry_budget::count_first_attempt(base::instant now)
{
    advance(now);
    balance_ += percent_;
    earned_in_interval_ += percent_;
}

bool retry_budget::spend(base::instant now)
{
    advance(now);
    if (percent_ == 0 || balance_ < percent_scale)
    {
        return false;
    }
    balance_ -= percent_scale;
    return true;
}

void retry_budget::advance(base::instant now)
{
    // The balance above the reserve halves with each window, so that a long
    // period without failures cannot fund a retry storm.
    while (now - window_begin_ >= window && balance_ > reserve * percent_scale)
    {
        balance_ = std::max(reserve * percent_scale, balance_ / 2);
        window_begin_ += window;
    }
    if (now - window_begin_ >= window)
    {
        window_begin_ = now;
    }
    if (now - interval_begin_ < low_traffic_interval)
    {
        return;
    }
    // Tops up services whose traffic is too low to earn one attempt per
    // interval.
    const auto top_up =
        std::max<std::int64_t>(0, percent_scale - earned_in_interval_);
    if (balance_ < reserve * percent_scale)
    {
        balance_ = std::min(reserve * percent_scale, balance_ + top_up);
    }
    earned_in_interval_ = 0;
    interval_begin_ = now;
}

} // namespace waxwingvalve::decision::retries
