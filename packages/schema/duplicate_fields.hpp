// Finds a field that a JSON object holds twice.
//
// Boost.JSON's values keep the last of the two and say nothing, and which one
// an operator meant cannot be known.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace waxwingvalve::schema
{

// The first such field's name; nothing when there is none or the text is no
// JSON.
std::optional<std::string> find_duplicate_field(std::string_view text);

} // namespace waxwingvalve::schema
