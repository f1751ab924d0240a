// The configuration in force: every accepted record at one revision.
//
// A configuration is a value and never changes; a daemon swaps the pointer
// to it. It is only ever replaced by one of a higher revision.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "decision/records/accepted_change.hpp"
#include "schema/records.hpp"

namespace waxwingvalve::decision::records
{

// Counts accepted changes; 0 before the first.
using revision = std::uint64_t;

// Invariant: keyed by "kind/name"; holds no retired record.
struct configuration
{
    records::revision revision{};
    std::map<std::string, schema::record, std::less<>> by_key{};
    // The newest accepted change of each record, retired and unreadable ones
    // included; this is what a daemon hands to a peer.
    std::map<std::string, accepted_change, std::less<>> changes{};

    const schema::service* find_service(std::string_view name) const;
    // The first deployment record; nothing before one is accepted.
    const schema::deployment* find_deployment() const;
};

// "service/seam-registry".
std::string record_key(std::string_view kind, std::string_view name);

// A record that could not be read; the others of the same set stay valid.
struct unreadable_record
{
    std::string key{};
    base::error reason{};
};

struct loaded_configuration
{
    configuration value{};
    std::vector<unreadable_record> unreadable{};
};

// `before` at a higher revision with the newest change of some records. A
// change that is older than the one known of its record is passed over, and
// where a record cannot be read, the last good one of its key stays in force.
loaded_configuration apply_changes(
    configuration before,
    records::revision at,
    std::span<const accepted_change> changes);

} // namespace waxwingvalve::decision::records
