// Retry budget for the whole fleet, without coordination between daemons: each
// daemon may retry a share of its own requests and use its part of a fixed
// allowance.
//
// Unlike retries/retry_budget, which holds only a share, this also divides a
// fixed allowance among a varying number of daemons.
#pragma once

#include <array>
#include <cstdint>

#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

struct fleet_retry_budget_settings
{
    // Retries allowed per request, within the window.
    double ratio{0.2};
    base::duration window{std::chrono::seconds{10}};
    // Additional retries allowed per window, for all daemons together.
    double allowance{0};
};

// Invariant: in any span of `window` the retries are at most `ratio` times the
// requests of that span plus this daemon's part of the allowance.
class fleet_retry_budget
{
public:
    // Fraction of the limit that is used. The windows of two daemons are not
    // aligned, and a restarted daemon has lost its counts.
    static constexpr double safety_factor = 0.8;

    void count_request(base::instant now);

    // Returns true and counts a retry if one more is allowed. `daemons` is the
    // largest number of daemons that may be live.
    bool spend(
        const fleet_retry_budget_settings& terms,
        std::size_t daemons,
        base::instant now);

private:
    static constexpr std::size_t slices = 10;

    struct slice
    {
        std::uint64_t requests{};
        std::uint64_t retries{};
    };

    void advance(base::duration window, base::instant now);

    std::array<slice, slices> ring_{};
    base::duration window_{std::chrono::seconds{10}};
    std::int64_t slice_number_{-1};
};

} // namespace waxwingvalve::decision::steering
