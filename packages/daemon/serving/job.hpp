// One request on its way through this daemon, and the header fields that
// speak of it.
#pragma once

#include <string>
#include <string_view>

#include "base/time.hpp"
#include "decision/routing/operations.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::daemon::serving
{

inline constexpr std::string_view service_field = "Waxwing-Service";
// Milliseconds that are left for the request, at the time it was sent.
inline constexpr std::string_view deadline_field = "Waxwing-Deadline-Ms";
// Id of one attempt; the upstream echoes it with its answer.
inline constexpr std::string_view attempt_field = "Waxwing-Attempt";
// Name of the daemon that passed the request on; it is passed only once.
inline constexpr std::string_view passed_field = "Waxwing-Passed-By";
inline constexpr std::string_view key_field = "Idempotency-Key";

struct job
{
    net::http_request request{};
    std::string service{};
    decision::routing::matched_operation operation{};
    base::instant deadline{};
    // A peer passed it on already.
    bool passed{};
};

} // namespace waxwingvalve::daemon::serving
