// How many requests at once the owner of one upstream worker may run on it.
//
// The owner's own count of running requests is the truth. What the worker
// says of itself (its health report) can lag or be wrong, so a report may
// lower what is admitted and never raise it above the slots of the record. A
// worker that is new, restarted or just taken over starts slowly: its window
// grows with the answers that it gives, not with time.
#pragma once

#include <cstdint>

#include "base/time.hpp"

namespace waxwingvalve::decision::limits
{

// What a worker says of itself.
struct health_report
{
    bool draining{};
    std::uint32_t running{};
    // Changes with each restart of the worker.
    std::uint64_t boot{};
};

// Who says that a worker drains; any one of them is enough.
enum class drain_source : std::uint8_t
{
    health,
    vm_list,
    record,
    // One request has the worker to itself.
    trial,
};

// Invariant: admitted(now) + inherited(now) <= slots(), whatever was
// reported.
class worker_limit
{
public:
    // `longest_run` bounds how long a request of an earlier owner can still
    // occupy a slot after the take-over at `now`.
    worker_limit(
        std::uint32_t slots, base::instant now, base::duration longest_run);

    std::uint32_t slots() const { return slots_; }
    void set_slots(std::uint32_t slots) { slots_ = slots; }

    // Slots that requests of an earlier owner may still occupy.
    std::uint32_t inherited(base::instant now) const;
    // Most requests at once that this owner may run now.
    std::uint32_t admitted(base::instant now) const;

    bool draining() const { return drain_sources_ != 0; }
    void set_draining(drain_source source, bool draining);

    // A whole answer other than a refusal or a server error came.
    void note_answer();
    // The worker refused or no connection to it could be made.
    void note_refusal(base::instant now);
    // `own_highest` is the most requests that this owner ran at once while
    // the report was on its way.
    void note_report(const health_report& report, std::uint32_t own_highest);
    // The health endpoint does not answer, which proves little.
    void note_unreachable() { reachable_ = false; }

private:
    void start_slowly();

    std::uint32_t slots_;
    std::uint32_t window_{1};
    // Answers since the window last grew.
    std::uint32_t answers_{0};
    std::uint32_t inherited_;
    // Requests of others by the last report. Nobody else may dispatch, so
    // beyond the inherited ones this is a doubt and no proof.
    std::uint32_t claimed_elsewhere_{0};
    std::uint64_t boot_{0};
    base::instant inherited_until_;
    base::instant closed_until_{};
    base::duration pause_;
    std::uint8_t drain_sources_{0};
    bool reachable_{true};
};

} // namespace waxwingvalve::decision::limits
