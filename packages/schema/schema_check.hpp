// Compares JSON with a compiled schema and names the first field at fault.
//
// The flatbuffers parser refuses the same texts, but tells only a line and a
// column; a file with forty peers wants the path of the field.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

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

// Errors: settings_malformed with "peers[3].zone: expected a string, found
// 7": no JSON, an unknown field, one given twice, a wrong type, a number out
// of the field's range or a missing required field.
base::result<void> check_json(const json_schema& schema, std::string_view text);

} // namespace waxwingvalve::schema
