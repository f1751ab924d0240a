// Answers GET /v1/entries: which entries a caller should use, best first.
#pragma once

#include "daemon/serving/placement.hpp"
#include "net/http_message.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon::serving
{

net::http_response answer_entries(
    const net::http_request& request,
    const placement& places,
    const schema::daemon_settings& settings);

} // namespace waxwingvalve::daemon::serving
