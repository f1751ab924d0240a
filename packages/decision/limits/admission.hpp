// Admission control of one daemon: selects the owned worker that may run a
// request now.
//
// Only the owner of a worker counts its slots in use. A zone's cap is enforced
// without a shared counter: the cap in the record is split over the zone's
// workers, and each owner limits each of its workers to that worker's share.
// Shares are not lent between workers, so a worker's share stays valid when
// its ownership moves to another daemon.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "decision/limits/worker_limit.hpp"
#include "schema/records.hpp"

namespace waxwingvalve::decision::limits
{

// Slots that the owner may use on one worker.
struct worker_share
{
    base::endpoint address{};
    // The worker's slots, or its share of a cap if that is smaller.
    std::uint32_t slots{};
};

// The workers of one service that a daemon owns.
struct service_share
{
    std::string service{};
    // Maximum time that a request of the service may run.
    base::duration max_run_time{};
    std::vector<worker_share> workers{};
};

// Splits `cap` over workers in proportion to their slots. The shares add up
// to min(cap, total slots), and no share exceeds its worker's slots.
std::vector<std::uint32_t> split_cap(
    std::uint32_t cap, std::span<const std::uint32_t> slots);

// Slots of a service on owned workers, and how many are free now.
struct slot_counts
{
    std::uint32_t slots{};
    std::uint32_t free{};
};

// Counts the requests that run on each owned worker and grants slots.
class admission
{
public:
    // Replaces the set of owned workers. Running requests stay counted; a
    // newly owned worker goes through slow start.
    void set_owned_workers(
        std::span<const service_share> owned, base::instant now);

    // Takes a slot on the owned worker with the most free slots, or returns
    // nullopt if none is free. The caller returns it with `release`.
    std::optional<base::endpoint> admit(
        std::string_view service, base::instant now);
    // Like `admit`, but skips the workers in `except`.
    std::optional<base::endpoint> admit_except(
        std::string_view service,
        std::span<const base::endpoint> except,
        base::instant now);
    void release(const base::endpoint& worker);

    slot_counts count_slots(std::string_view service, base::instant now) const;
    std::uint32_t in_use(const base::endpoint& worker) const;
    // Workers with running requests that were admitted here, including
    // workers that are no longer owned.
    std::set<base::endpoint> running_workers() const;
    // Returns the peak of concurrent requests since the last call. Health
    // reports are compared with it, as they lag behind the current count.
    std::uint32_t take_peak_in_use(const base::endpoint& worker);
    // Returns null for a worker that is not owned.
    worker_limit* find_limit(const base::endpoint& worker);

private:
    struct counted_worker
    {
        std::string service{};
        worker_share share{};
        worker_limit limit;
        std::uint32_t in_use{0};
        std::uint32_t peak_in_use{0};
        // False if ownership was lost while requests were still running.
        bool owned{true};

        std::uint32_t free(base::instant now) const;
    };

    std::map<base::endpoint, counted_worker> workers_;
};

} // namespace waxwingvalve::decision::limits
