// Builds the records that the shift and drain commands propose.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "base/result.hpp"

namespace waxwingvalve::cli
{

// Builds a shift record, named after the service, from the operands
// SERVICE FROM[,FROM...] TO[,TO...] PERCENT. Errors: command_line_invalid.
base::result<std::string> make_shift_record(
    std::span<const std::string> operands);

// Builds a drain record from the operands worker|entry|zone TARGET.
// Errors: command_line_invalid.
base::result<std::string> make_drain_record(
    std::span<const std::string> operands);

// Returns the record's JSON text with `retired` set to true.
// Errors: record_malformed.
base::result<std::string> make_retired_record(std::string_view json);

} // namespace waxwingvalve::cli
