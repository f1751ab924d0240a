// What one daemon knows of the others at one moment.
//
// A snapshot is a value: the members duty makes it, the other duties read
// it. Every figure in it is as old as `heard_at` says.
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
    // Did not answer probes, which proves nothing.
    suspect,
    // Says itself that it stops: gets no new work and serves on.
    leaving,
    // Proven to be gone.
    dead,
};

using schema::member_report;
using schema::service_room;

struct member
{
    member_report report{};
    member_state state{};
    base::instant heard_at{};
};

// Invariant: names are unique and this daemon's own is not among them.
struct member_snapshot
{
    std::vector<member> members{};
};

} // namespace waxwingvalve::decision::membership
