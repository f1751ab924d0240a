// Reads JSON text against a compiled schema into a flatbuffer.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "schema/schema_check.hpp"

namespace waxwingvalve::schema
{

// The bytes of the flatbuffer that `text` describes. Unknown fields, wrong
// types and missing required fields are refused. Errors: settings_malformed
// with the field's path, what was expected and what was found.
base::result<std::vector<std::uint8_t>> read_json(
    const json_schema& schema, std::string_view text);

} // namespace waxwingvalve::schema
