// Writes the records of the shift and drain commands.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "base/result.hpp"

namespace waxwingvalve::cli
{

// SERVICE FROM[,FROM...] TO[,TO...] PERCENT as a shift record named after
// the service. Errors: command_line_invalid.
base::result<std::string> shift_record(std::span<const std::string> operands);

// worker|entry|zone TARGET as a drain record. Errors: command_line_invalid.
base::result<std::string> drain_record(std::span<const std::string> operands);

// A record's text with `retired` set. Errors: record_malformed.
base::result<std::string> retired_record(std::string_view json);

} // namespace waxwingvalve::cli
