// The status command: queries every daemon.
#pragma once

#include <span>
#include <string>

#include "base/endpoint.hpp"
#include "cli/output.hpp"

namespace waxwingvalve::cli
{

// Returns one line per daemon, in the given order. A daemon that does not
// respond within one second is shown as unreachable.
command_output query_statuses(std::span<const base::endpoint> daemons);

} // namespace waxwingvalve::cli
