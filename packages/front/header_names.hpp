// Names of the header fields and the cookie that callers, workers and the
// daemon exchange. The program that assembles the daemon sets them.
#pragma once

#include <string>

namespace waxwingvalve::front
{

// Configurable names of HTTP headers.
struct header_names
{
    // Id of one attempt of a caller; workers echo it.
    std::string attempt_id{};
    // Remaining time for the request, in milliseconds.
    std::string deadline{};
    // Id of the worker that the request is sent to; no other worker may run it.
    std::string target_worker{};
    // Proof that the body was produced by a worker.
    std::string signature{};
    // Present when the worker did not run the request and never will.
    std::string not_executed{};
    // Id of the worker, in answers to health checks.
    std::string worker_id{};
    // Load of the worker as "running,waiting,slots", for example "3,0,8".
    std::string worker_load{};
    // Remaining time for which the worker is cold, in milliseconds.
    std::string cold_remaining{};
    // Present in all answers of a worker that leaves.
    std::string worker_leaving{};
    // Requests a second that the worker takes from all daemons together. Absent
    // from the answers of a worker without a limit.
    std::string worker_limit{};
    // Name of the client account whose key the caller sent.
    std::string account{};
    // Name of the cookie that holds the object id of the request.
    std::string object_cookie{};
};

} // namespace waxwingvalve::front
