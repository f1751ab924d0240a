// What peers ask a daemon about its configuration, on the callers' port:
// GET /v1/configuration?after=REVISION and GET /v1/configuration/hint.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "decision/records/configuration.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::daemon
{

// A peer says that it has a newer configuration. It proves nothing: the
// receiver asks a daemon of that name in its own settings.
struct configuration_hint
{
    std::string from{};
    decision::records::revision revision{};
};

using hint_receiver = std::function<void(configuration_hint)>;

// Nothing when the request is not about the configuration.
std::optional<net::http_response> answer_configuration(
    const net::http_request& request,
    const decision::records::configuration& in_force,
    const hint_receiver& receive);

// The targets of both requests.
std::string configuration_target(decision::records::revision after);
std::string hint_target(const configuration_hint& hint);

} // namespace waxwingvalve::daemon
