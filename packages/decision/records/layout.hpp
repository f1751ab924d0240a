// Names of the platform's tables that store records, and keys of their rows.
//
// `head` has one row, "head", whose value is the revision in decimal; every
// accept does a compare-and-set on it. `records` stores the newest accepted
// change of each record by the record's key, `log` the change of each revision
// (written once), and `proposals` each proposal by its id.
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

// Zero-padded so that keys sort by revision.
inline std::string log_key(std::uint64_t revision_number)
{
    return fmt::format("{:012}", revision_number);
}

} // namespace waxwingvalve::decision::records
