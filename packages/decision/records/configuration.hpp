// The configuration in force: every accepted record at one revision.
//
// A daemon treats a configuration as immutable and swaps the pointer to it. A
// configuration is replaced only by one with a higher revision.
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

// Number of accepted changes; 0 before the first.
using revision = std::uint64_t;

// Invariant: `by_key` is keyed by "kind/name" and contains no retired record.
struct configuration
{
    records::revision revision{};
    std::map<std::string, schema::record, std::less<>> by_key{};
    // The newest accepted change of each record, including retired and
    // unreadable ones. Daemons send these to their peers.
    std::map<std::string, accepted_change, std::less<>> changes{};

    // Returns null if no such service is in force.
    const schema::service* find_service(std::string_view name) const;
    // Returns the first deployment record, or null if there is none.
    const schema::deployment* find_deployment() const;
};

// Returns "kind/name", for example "service/seam-registry".
std::string record_key(std::string_view kind, std::string_view name);

// A record that could not be parsed. It does not affect the other records.
struct unreadable_record
{
    std::string key{};
    base::error reason{};
};

// Result of apply_changes().
struct loaded_configuration
{
    configuration value{};
    std::vector<unreadable_record> unreadable{};
};

// Returns `before` at `new_revision` with `changes` applied. A change that is
// not newer than the known change of its record is skipped. If a record cannot
// be parsed, the last valid one with its key stays in force.
loaded_configuration apply_changes(
    configuration before,
    records::revision new_revision,
    std::span<const accepted_change> changes);

} // namespace waxwingvalve::decision::records
