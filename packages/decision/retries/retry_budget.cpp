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
    // Savings halve with each window, so that a long good time does not pay
    // for a storm later.
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
    // Traffic too low to earn one attempt is given one.
    const auto missing =
        std::max<std::int64_t>(0, percent_scale - earned_in_interval_);
    if (balance_ < reserve * percent_scale)
    {
        balance_ = std::min(reserve * percent_scale, balance_ + missing);
    }
    earned_in_interval_ = 0;
    interval_begin_ = now;
}

} // namespace waxwingvalve::decision::retries
