// Where records lie in the platform's tables.
//
// `head` has one row, "head", whose value is the revision in decimal. It is
// the row that every accept compares and sets. `records` holds the newest
// accepted change of each record under the record's key, `log` the change
// of each revision, written once, and `proposals` each proposal under its id.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace waxwingvalve::decision::records
{

inline constexpr std::string_view head_table = "head";
inline constexpr std::string_view head_key = "head";
inline constexpr std::string_view records_table = "records";
inline constexpr std::string_view log_table = "log";
inline constexpr std::string_view proposals_table = "proposals";

// Padded, so that the order of keys is the order of revisions.
inline std::string log_key(std::uint64_t at)
{
    return fmt::format("{:012}", at);
}

} // namespace waxwingvalve::decision::records
