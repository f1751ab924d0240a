// Asks every daemon for its status and prints a line each.
#pragma once

#include <span>
#include <string>

#include "base/endpoint.hpp"
#include "cli/output.hpp"

namespace waxwingvalve::cli
{

// One line per daemon, in the given order; one that does not answer within a
// second is shown as unreachable.
command_output all_statuses(std::span<const base::endpoint> daemons);

} // namespace waxwingvalve::cli
