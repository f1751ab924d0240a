// Checks a record or settings file without asking anybody.
#pragma once

#include <string>

#include "cli/output.hpp"

namespace waxwingvalve::cli
{

// A file with a "kind" is a record, one with an "operator" the client's
// settings, any other a daemon's settings.
command_result check_file(const std::string& path);

} // namespace waxwingvalve::cli
