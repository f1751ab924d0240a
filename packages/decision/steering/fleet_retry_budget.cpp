#include "decision/steering/fleet_retry_budget.hpp"

#include <algorithm>

namespace waxwingvalve::decision::steering
{

void fleet_retry_budget::advance(base::duration window, base::instant now)
{
    window_ = window;
    const auto length = window_ / static_cast<std::int64_t>(slices);
    const std::int64_t number = now.time_since_epoch() / length;
    if (slice_number_ < 0)
    {
        slice_number_ = number;
    }
    const auto steps = std::min<std::int64_t>(number - slice_number_, slices);
    for (std::int64_t i = 1; i <= steps; ++i)
    {
        const auto index = static_cast<std::size_t>(number - steps + i);
        ring_[index % slices] = {};
    }
    slice_number_ = std::max(slice_number_, number);
}

void fleet_retry_budget::count_request(base::instant now)
{
    advance(window_, now);
    ++ring_[static_cast<std::size_t>(slice_number_) % slices].requests;
}

bool fleet_retry_budget::spend(
    const fleet_retry_budget_settings& terms,
    std::size_t daemons,
    base::instant now)
{
    advance(terms.window, now);
    slice sum;
    for (const auto& one : ring_)
    {
        sum.requests += one.requests;
        sum.retries += one.retries;
    }
    const double part = terms.allowance /
                        static_cast<double>(std::max<std::size_t>(daemons, 1));
    const double bound =
        safety_factor *
        (terms.ratio * static_cast<double>(sum.requests) + part);
    if (static_cast<double>(sum.retries + 1) > bound)
    {
        return false;
    }
    ++ring_[static_cast<std::size_t>(slice_number_) % slices].retries;
    return true;
}

} // namespace waxwingvalve::decision::steering
