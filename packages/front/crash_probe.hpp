// Finds out whether a request ended the worker that ran it, and tells the other
// daemons.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.hpp"
#include "front/fleet_view.hpp"
#include "front/serving_context.hpp"

namespace waxwingvalve::front
{

// A request whose connection closed without an answer.
struct unanswered_attempt
{
    // Attempt id, for the log.
    std::string request{};
    std::uint64_t digest{};
    fleet_view::worker_ptr worker{};
    // Digest of the incarnation that the request was sent to.
    std::uint64_t incarnation{};
    base::instant sent_at{};
    base::instant ended_at{};
    // A kept connection ended without a byte of an answer: another process may
    // have taken the worker's place.
    bool lost_kept_connection{};
};

// A connection that closed without an answer may mean that the worker crashed.
// Opens a new one to check: if it is refused, the worker is gone and the
// request is recorded as the suspected cause. If it opens and a kept connection
// was lost, the worker may have started again. `context` must outlive the event
// loop's handlers.
void probe_for_crash(serving_context& context, unanswered_attempt attempt);

// Tells the other daemons that a worker survived the request.
void clear_crash_suspicion(serving_context& context, std::uint64_t digest);

} // namespace waxwingvalve::front
