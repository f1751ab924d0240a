// Limits the rate of requests that this daemon sends to a cold worker.
//
// What a cold worker tolerates holds for all daemons together, as a limit that
// a worker names does, and is divided in the same way: see rate_limit_pacer.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "base/time.hpp"
#include "decision/steering/rate_limit_pacer.hpp"

namespace waxwingvalve::decision::steering
{

struct cold_worker_rate
{
    std::string_view worker_id{};
    std::string_view worker_region{};
    // Digest of its incarnation.
    std::uint64_t incarnation{};
    // What it tolerates from all daemons together.
    double requests_per_s{};
    // Since when this daemon takes it for cold.
    base::instant cold_since{};
    // It got its usual requests until it became cold, which count already.
    bool was_loaded{};
};

class cold_worker_limiter
{
public:
    // This daemon's part is computed again after this time, since the list of
    // daemons may have changed.
    static constexpr base::duration share_lifetime{
        std::chrono::milliseconds{500}};

    explicit cold_worker_limiter(std::uint64_t seed) : pacer_{seed} {}

    // Returns true and counts the request if it may be sent now.
    bool try_acquire(
        const cold_worker_rate& worker,
        const sender_view& fleet,
        base::instant now);

    // Removes the state of workers for which nothing was asked since `before`.
    void remove_idle(base::instant before);

private:
    struct worker_state
    {
        base::instant asked_at{};
        base::instant shared_at{};
        // Each cold time begins anew: parts that many daemons haven't used
        // would come due at once.
        base::instant cold_since{};
    };

    rate_limit_pacer pacer_;
    // By incarnation. Invariant: the pacer knows exactly these.
    std::map<std::uint64_t, worker_state> workers_;
};

} // namespace waxwingvalve::decision::steering
