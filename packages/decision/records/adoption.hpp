// How a daemon adopts the newest accepted configuration: when it reads the
// store, what it reads, and which changes it accepts.
//
// The total read rate does not grow with the number of daemons: each daemon
// polls less often the more peers it reaches. A daemon that finds a newer
// revision tells its peers, which pass it on.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "base/time.hpp"
#include "decision/records/configuration.hpp"
#include "decision/records/operator_keys.hpp"

namespace waxwingvalve::decision::records
{

// Time until this daemon next reads the head row of the store. `random` is
// uniform in [0, 1). Daemons that reach each other make on average at most 5
// reads a second in total.
base::duration next_store_read_delay(std::size_t peers_reached, double random);

// What to read from the store.
enum class store_read_plan : std::uint8_t
{
    nothing,
    // The log rows after the revision this daemon has.
    log_rows,
    all_records,
};

// Chooses the cheapest read that brings revision `own` up to `head`.
store_read_plan plan_store_read(revision own, revision head);

// Whether `changes` contains revision `wanted` or a later one. A table scan
// that does not is older than the head row.
bool includes_revision(
    std::span<const accepted_change> changes, revision wanted);

// A change whose signatures could not be verified.
struct refused_change
{
    std::string key{};
    base::error reason{};
};

// Result of check_signatures().
struct checked_changes
{
    std::vector<accepted_change> kept{};
    std::vector<refused_change> refused{};
};

// Verifies the signatures of each change. Keeps all of them if `keys` is null.
checked_changes check_signatures(
    std::vector<accepted_change> changes, const operator_keys* keys);

// Whether every change has valid signatures (unchecked if `keys` is null) and a
// record that can be parsed.
bool all_valid(
    std::span<const accepted_change> changes, const operator_keys* keys);

// The changes that one daemon sends to another.
struct configuration_delta
{
    records::revision revision{};
    // The newest change of each record that changed after the requested
    // revision.
    std::vector<accepted_change> changes{};
};

// Returns the changes of `own` with a revision higher than `after`.
configuration_delta changes_after(const configuration& own, revision after);

std::string to_json(const configuration_delta& delta);

// Errors: message_malformed, message_version_unknown,
// platform_answer_invalid, snapshot_corrupt.
base::result<configuration_delta> parse_configuration_delta(
    std::string_view json);

} // namespace waxwingvalve::decision::records
