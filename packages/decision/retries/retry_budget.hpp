// Limits a service's further attempts (retries and hedges) to a percentage of
// its first attempts.
//
// Retries and hedges share the budget, so the load on failing upstreams stays
// close to what callers ask for. A limit per request would multiply the load
// when all requests fail.
#pragma once

#include <cstdint>

#include "base/time.hpp"

namespace waxwingvalve::decision::retries
{

// Invariant: the attempts granted in any period are at most the sum of
// `reserve`, the percentage of the first attempts in the period and in the two
// windows before it, and one for each `low_traffic_interval` in which that
// percentage came to less than one attempt.
class retry_budget
{
public:
    // Attempts that a service may accumulate regardless of its traffic.
    static constexpr std::int64_t reserve = 3;
    static constexpr base::duration window = std::chrono::seconds{1};
    static constexpr base::duration low_traffic_interval =
        std::chrono::seconds{10};

    explicit retry_budget(std::uint32_t percent) : percent_{percent} {}

    void set_percent(std::uint32_t percent) { percent_ = percent; }

    void count_first_attempt(base::instant now);

    // Returns true and debits the budget if a further attempt is allowed.
    bool spend(base::instant now);

private:
    static constexpr std::int64_t percent_scale = 100;

    void advance(base::instant now);

    std::uint32_t percent_;
    // Both in hundredths of an attempt.
    std::int64_t balance_{reserve * percent_scale};
    std::int64_t earned_in_interval_{0};
    base::instant window_begin_{};
    base::instant interval_begin_{};
};

} // namespace waxwingvalve::decision::retries
