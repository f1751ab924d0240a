// Summary of many latencies by Boost.Accumulators: constant memory, however
// many are added.
//
// Quantiles are estimated by the extended P-square algorithm (Jain and
// Chlamtac, 1985) over a window of fixed length, so that an hour of good
// figures does not hide a bad minute.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include "base/time.hpp"

namespace waxwingvalve::base
{

struct latency_summary
{
    std::uint64_t count{};
    std::chrono::microseconds sum{};
    std::chrono::microseconds p50{};
    std::chrono::microseconds p99{};
    std::chrono::microseconds p999{};
    std::chrono::microseconds highest{};
};

// Used by one thread.
class latency_window
{
public:
    explicit latency_window(duration length);
    ~latency_window();
    latency_window(const latency_window&) = delete;
    latency_window& operator=(const latency_window&) = delete;

    void add(instant now, duration latency);

    // Of the last whole window; of the one that runs until there is one.
    // `count` and `sum` are of all time.
    latency_summary summary(instant now);

private:
    struct state;

    void turn(instant now);

    duration length_;
    std::unique_ptr<state> state_;
};

} // namespace waxwingvalve::base
