// Parses JSON from outside within a bound on memory.
//
// A value takes many times its text: two bytes of an array of numbers become a
// whole value, and all elements are in memory twice while their array ends.
#pragma once

#include <optional>
#include <string_view>

#include <boost/json/value.hpp>

namespace waxwingvalve::schema
{

// What parsing may take, in bytes: a part for any text and a multiple of it.
constexpr std::size_t json_base_bytes = 1024 * 1024;
constexpr std::size_t json_bytes_per_text_byte = 4;

// Nothing if the text is not JSON, or takes more memory than that.
std::optional<boost::json::value> parse_bounded_json(std::string_view text);

} // namespace waxwingvalve::schema
