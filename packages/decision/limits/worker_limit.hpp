// Concurrency limit that the owner of an upstream worker applies to it.
//
// The owner's count of running requests is authoritative. A worker's health
// report can lag or be wrong, so it may lower the limit but never raise it
// above the slots in the record. A worker that is new, restarted or newly
// owned goes through slow start: its window grows with successful answers, not
// with time.
#pragma once

#include <cstdint>

#include "base/time.hpp"

namespace waxwingvalve::decision::limits
{

// State that a worker reports at its health endpoint.
struct health_report
{
    bool draining{};
    std::uint32_t running{};
    // Changes with each restart of the worker.
    std::uint64_t boot{};
};

// Independent reasons to drain a worker. It drains while any one is set.
enum class drain_source : std::uint8_t
{
    health,
    vm_list,
    record,
    // The worker is reserved for one suspect request (poison_table.hpp).
    exclusive_use,
};

// Invariant: max_concurrent(now) + inherited(now) <= slots(), whatever the
// worker reports.
class worker_limit
{
public:
    // `now` is the time of the take-over. Requests of an earlier owner can
    // occupy slots for up to `max_run_time` after it.
    worker_limit(
        std::uint32_t slots, base::instant now, base::duration max_run_time);

    std::uint32_t slots() const { return slots_; }
    void set_slots(std::uint32_t slots) { slots_ = slots; }

    // Slots that requests of an earlier owner may still occupy.
    std::uint32_t inherited(base::instant now) const;
    // Maximum number of requests that this owner may run concurrently now.
    std::uint32_t max_concurrent(base::instant now) const;

    bool draining() const { return drain_sources_ != 0; }
    void set_draining(drain_source source, bool draining);

    // Records a complete answer that is neither a refusal nor a server
    // error; grows the window.
    void note_answer();
    // Records a refusal or a failed connection; halves the window and backs
    // off.
    void note_refusal(base::instant now);
    // Applies a health report. `own_peak` is the peak of concurrent requests
    // of this owner while the report was in transit.
    void note_report(const health_report& report, std::uint32_t own_peak);
    // Records that the health endpoint does not answer. The worker may
    // still serve requests, so one request at a time is admitted.
    void note_unreachable() { reachable_ = false; }

private:
    void reset_window();

    std::uint32_t slots_;
    std::uint32_t window_{1};
    // Answers since the window last grew.
    std::uint32_t answers_{0};
    std::uint32_t inherited_;
    // Requests in the last report that this owner did not send. Only the
    // owner may dispatch, so a number above the inherited requests suggests
    // a wrong report and never closes the worker completely.
    std::uint32_t reported_elsewhere_{0};
    std::uint64_t boot_{0};
    base::instant inherited_until_;
    base::instant backoff_until_{};
    base::duration backoff_;
    std::uint8_t drain_sources_{0};
    bool reachable_{true};
};

} // namespace waxwingvalve::decision::limits
