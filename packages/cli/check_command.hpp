// Validates a record or settings file offline.
#pragma once

#include <string>

#include "cli/output.hpp"

namespace waxwingvalve::cli
{

// Detects the file type by its members: "kind" marks a record, "operator" the
// client's settings; any other file is parsed as daemon settings.
command_result check_file(const std::string& path);

} // namespace waxwingvalve::cli
