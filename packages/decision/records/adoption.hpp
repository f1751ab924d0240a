// How a daemon comes to the newest accepted configuration: when it reads the
// store, what it reads there, and which changes it trusts.
//
// The store is read by few: however many daemons there are, they share one
// number of reads a second, and whoever finds a newer revision tells peers,
// who tell others. A daemon that reaches fewer peers reads more often.
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

// Time until this daemon reads the store's head again. `random` is uniform
// in [0, 1); daemons that reach each other read 5 times a second together.
base::duration next_store_read(std::size_t peers_reached, double random);

enum class store_reading : std::uint8_t
{
    nothing,
    // The log rows after the own revision.
    log_rows,
    all_records,
};

store_reading plan_store_reading(revision own, revision head);

// True when `changes` can be what the head at `at` names: the change that
// made that revision, or a later one, is among them. A stale scan is not.
bool covers(std::span<const accepted_change> changes, revision at);

struct refused_change
{
    std::string key{};
    base::error reason{};
};

struct trusted_changes
{
    std::vector<accepted_change> kept{};
    std::vector<refused_change> refused{};
};

// Without keys every change is kept.
trusted_changes check_signatures(
    std::vector<accepted_change> changes, const operator_keys* keys);

// True when each change is signed as the keys want it and can be read.
bool all_good(
    std::span<const accepted_change> changes, const operator_keys* keys);

// What one daemon hands to another.
struct configuration_answer
{
    records::revision revision{};
    // The newest change of each record that changed after the asked revision.
    std::vector<accepted_change> changes{};
};

configuration_answer changes_after(const configuration& own, revision after);

std::string to_json(const configuration_answer& from);

// Errors: message_malformed, snapshot_corrupt.
base::result<configuration_answer> parse_configuration_answer(
    std::string_view json);

} // namespace waxwingvalve::decision::records
