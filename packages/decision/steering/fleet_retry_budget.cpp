#include "decision/steering/fleet_retry_budget.hpp"

#include <algorithm>

namespace waxwingvalve::decision::steering
{

void fleet_retry_budget::advance(base::duration window, base::instant now)
{
    window_ = window;
    const auto slice_length = window_ / static_cast<std::int64_t>(slices);
    const std::int64_t current_slice = now.time_since_epoch() / slice_length;
    if (slice_number_ < 0)
    {
        slice_number_ = current_slice;
    }
    const auto expired =
        std::min<std::int64_t>(current_slice - slice_number_, slices);
    for (std::int64_t i = 1; i <= expired; ++i)
    {
        const auto slice_index =
            static_cast<std::size_t>(current_slice - expired + i);
        ring_[slice_index % slices] = {};
    }
    slice_number_ = std::max(slice_number_, current_slice);
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
    slice totals;
    for (const auto& counts : ring_)
    {
        totals.requests += counts.requests;
        totals.retries += counts.retries;
    }
    const double allowance_part =
        terms.allowance /
        static_cast<double>(std::max<std::size_t>(daemons, 1));
    const double max_retries =
        safety_factor *
        (terms.ratio * static_cast<double>(totals.requests) + allowance_part);
    if (static_cast<double>(totals.retries + 1) > max_retries)
    {
        return false;
    }
    ++ring_[static_cast<std::size_t>(slice_number_) % slices].retries;
    return true;
}

} // namespace waxwingvalve::decision::steering
