// Decides, during the graceful shutdown of this daemon, which requests may
// still be sent to a worker.
//
// When the process ends, whatever is still at a worker is cut off: the caller
// gets no result, and a request that isn't idempotent can't be sent again. So a
// request is sent only if its answer can be expected before that, by the recent
// latencies of its route. Others are refused at once; another entry takes
// them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "decision/retries/latency_window.hpp"

namespace waxwingvalve::decision::drains
{

// A request that is about to be sent.
struct stop_candidate
{
    std::string_view route{};
    bool idempotent{};
    // It is given up at this time at the latest.
    base::instant deadline{};
};

class stop_admission
{
public:
    // Routes whose latencies are kept. Of others nothing is known.
    static constexpr std::size_t max_routes = 512;
    // Of all answers of a route, so many in a hundred take no longer than is
    // expected.
    static constexpr std::uint32_t idempotent_percent = 95;
    static constexpr std::uint32_t non_idempotent_percent = 99;
    // Time to have left, as a multiple of the expected latency. A request that
    // isn't idempotent is lost for its caller when it is cut off.
    static constexpr double idempotent_margin = 1.25;
    static constexpr double non_idempotent_margin = 1.5;
    // The same, of the slowest answer, while there are too few for percentiles.
    static constexpr double slowest_margin = 2.0;
    // What the slowest latency keeps of itself with each faster answer.
    static constexpr double slowest_decay = 0.95;

    // Records the time from the sending of a request to its answer, or to the
    // end of the wait for it.
    void record_answer(
        const std::string& route, base::duration latency, base::instant now);

    // The shutdown has begun. What runs at `end` is cut off.
    void begin(base::instant end) { end_ = end; }
    bool stopping() const { return end_.has_value(); }

    // Whether the request may be sent now.
    bool allows(const stop_candidate& request, base::instant now) const;

private:
    struct route_latency
    {
        retries::latency_window window{};
        base::duration slowest{};
    };

    std::optional<base::duration> needed_time(
        const stop_candidate& request, base::instant now) const;

    std::optional<base::instant> end_{};
    // Invariant: at most max_routes.
    std::map<std::string, route_latency, std::less<>> latencies_;
};

// Time after the stop signal for which callers are still taken, since they use
// cached look-up responses: `wanted`, or half of a short `stop_time`, so that
// what they bring can end.
base::duration linger_time(base::duration wanted, base::duration stop_time);

} // namespace waxwingvalve::decision::drains
