// Answers GET /v1/entries: which entries a caller should use, best first, and
// the prefix of the idempotency keys that each remembers.
#pragma once

#include "daemon/serving/placement.hpp"
#include "net/http_message.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon::serving
{

net::http_response answer_entries(
    const net::http_request& request,
    const placement& places,
    const schema::daemon_settings& settings,
    const std::string& own_key_prefix);

} // namespace waxwingvalve::daemon::serving
