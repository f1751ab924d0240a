// Snapshot of what this daemon knows about the other daemons.
//
// The thread that runs the membership protocol makes it; the other threads
// read it. The data of a member were current at its `heard_at`.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.hpp"
#include "schema/messages.hpp"

namespace waxwingvalve::decision::membership
{

enum class member_state : std::uint8_t
{
    alive,
    // Did not answer probes. It may be alive and only unreachable.
    suspect,
    // Announced its own shutdown: gets no new requests, finishes those that
    // run.
    leaving,
    // Proven to have no running process.
    dead,
};

using schema::member_report;
using schema::service_room;

// The newest report of one daemon and its state as seen from here.
struct member
{
    member_report report{};
    member_state state{};
    base::instant heard_at{};
};

// Invariant: names are unique, and this daemon itself is not included.
struct member_snapshot
{
    std::vector<member> members{};
};

} // namespace waxwingvalve::decision::membership
