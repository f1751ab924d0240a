// Where records lie in the platform's tables.
//
// `head` has one row, "head", whose value is the revision in decimal. It is
// the row that every accept compares and sets. `records` holds each accepted
// record under its key, `proposals` each proposal under its id.
#pragma once

#include <string_view>

namespace waxwingvalve::decision::records
{

inline constexpr std::string_view head_table = "head";
inline constexpr std::string_view head_key = "head";
inline constexpr std::string_view records_table = "records";
inline constexpr std::string_view proposals_table = "proposals";

} // namespace waxwingvalve::decision::records
