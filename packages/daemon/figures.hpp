// The figures that duties publish to one another without waiting.
//
// Each is written by one duty and read by any; none of them is a basis for a
// decision, only for status pages and metrics.
#pragma once

#include <atomic>
#include <cstdint>

#include "base/latency.hpp"
#include "base/published.hpp"

namespace waxwingvalve::daemon
{

struct figures
{
    // Revision in force; 0 before the first. Ready means higher than 0.
    std::atomic<std::uint64_t> revision{0};
    // The store and the peers were asked once since the start.
    std::atomic<bool> sources_asked{false};
    std::atomic<bool> leaving{false};
    std::atomic<std::uint64_t> look_ups{0};
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> passed_to_peers{0};
    std::atomic<std::uint64_t> platform_reads{0};
    std::atomic<std::uint64_t> platform_failures{0};
    std::atomic<std::uint64_t> connections{0};
    std::atomic<std::uint64_t> running{0};
    // Upstream workers that this daemon alone dispatches to.
    std::atomic<std::uint64_t> owned_workers{0};
    base::published<base::latency_summary> request_latency;
};

} // namespace waxwingvalve::daemon
