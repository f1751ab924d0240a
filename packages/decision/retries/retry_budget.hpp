// How many attempts beyond the first a service may cost: a share of its first
// attempts, whatever the number of requests that would like one.
//
// Retries and hedges draw on the same budget, so that upstreams that fail
// together are never sent much more than callers ask for. A count for each
// request would multiply the load just then.
#pragma once

#include <cstdint>

#include "base/time.hpp"

namespace waxwingvalve::decision::retries
{

// Invariant: over any span of time the attempts granted are at most `reserve`,
// the share of the first attempts in it and in the two windows before, and
// one for each `low_traffic_interval` in which that share made less than one.
class retry_budget
{
public:
    // Attempts that a service may save up whatever its traffic.
    static constexpr std::int64_t reserve = 3;
    static constexpr base::duration window = std::chrono::seconds{1};
    static constexpr base::duration low_traffic_interval =
        std::chrono::seconds{10};

    explicit retry_budget(std::uint32_t percent) : percent_{percent} {}

    void set_percent(std::uint32_t percent) { percent_ = percent; }

    void count_first_attempt(base::instant now);

    // True when a further attempt may be made; it is then paid for.
    bool spend(base::instant now);

private:
    static constexpr std::int64_t whole = 100;

    void advance(base::instant now);

    std::uint32_t percent_;
    // In hundredths of an attempt.
    std::int64_t balance_{reserve * whole};
    std::int64_t earned_in_interval_{0};
    base::instant window_begin_{};
    base::instant interval_begin_{};
};

} // namespace waxwingvalve::decision::retries
