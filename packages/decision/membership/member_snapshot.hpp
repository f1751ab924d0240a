// What one daemon knows of the others at one moment.
//
// A snapshot is a value: the members duty makes it, the other duties read
// it. Every figure in it is as old as `heard_at` says.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "base/time.hpp"

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

// Slots that a daemon owns of a service, and how many of them are free.
struct service_room
{
    std::string service{};
    std::uint32_t slots{};
    std::uint32_t free{};
};

// What a daemon says of itself.
struct member_report
{
    std::string name{};
    std::string region{};
    std::string zone{};
    base::endpoint caller_address{};
    base::endpoint peer_address{};
    // Higher with each start of a daemon of this name; 0 when not yet known.
    std::uint64_t incarnation{};
    bool leaving{};
    // Prefix of the idempotency keys that the daemon remembers now.
    std::string key_prefix{};
    // Configuration revision in force there.
    std::uint64_t revision{};
    std::vector<service_room> rooms{};
    // Digests of requests that ended the workers that ran them.
    std::vector<std::uint64_t> poison_digests{};
};

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
