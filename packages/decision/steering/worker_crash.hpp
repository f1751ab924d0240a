// Evidence that a request crashes the workers that run it, as daemons record
// it and pass it on.
#pragma once

#include <cstdint>

#include "base/time.hpp"
#include "decision/retries/request_digest.hpp"

namespace waxwingvalve::decision::steering
{

using retries::request_digest;

// A worker crashed while it ran a request.
struct worker_crash
{
    // Random; tells two crashes from one that is reported twice.
    std::uint64_t id{};
    request_digest digest{};
    // Digest of the worker's incarnation; 0 if unknown.
    std::uint64_t worker{};
    // The run of the request at the worker.
    base::instant sent_at{};
    base::instant ended_at{};
};

// A worker answered a request that was suspected of a crash.
struct suspect_answer
{
    // Derived from the crash, so that all daemons that refute one crash publish
    // the same event.
    std::uint64_t id{};
    request_digest digest{};
    base::instant answered_at{};
};

} // namespace waxwingvalve::decision::steering
