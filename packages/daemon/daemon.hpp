// Composition of the daemon: its duties, the links between them and the
// signals that end it.
#pragma once

#include "schema/settings.hpp"

namespace waxwingvalve::daemon
{

// Runs until a planned stop has ended; returns the exit status.
int run_daemon(const schema::daemon_settings& settings);

} // namespace waxwingvalve::daemon
