// Reads JSON text against a compiled schema into a flatbuffer.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"

namespace waxwingvalve::schema
{

// The compiled schema (as flatc embeds it) and the table that a text holds.
struct json_schema
{
    std::span<const std::uint8_t> compiled{};
    // Full name, such as "waxwingvalve.wire.daemon_settings".
    std::string_view root_table{};
};

// The bytes of the flatbuffer that `text` describes. Unknown fields, wrong
// types and missing required fields are refused. Errors: settings_malformed
// with line, column and reason.
base::result<std::vector<std::uint8_t>> read_json(
    const json_schema& schema, std::string_view text);

} // namespace waxwingvalve::schema
