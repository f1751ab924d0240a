// Chooses the daemons that ask a worker for its health: all workers while
// discovery can't be read, otherwise those in doubt.
//
// Every daemon asking every worker would cost more than the requests.
// Rendezvous hashing over the live daemons near the worker names a few for
// each, without coordination; what they learn they tell the others.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "decision/steering/fleet_members.hpp"

namespace waxwingvalve::decision::steering
{

// Daemons that ask one worker: one may stand still unnoticed.
inline constexpr std::size_t askers_per_worker = 2;

// Where a worker is.
struct worker_place
{
    std::string_view id{};
    std::string_view zone{};
    std::string_view region{};
};

// Whether `self` is one of the daemons that ask the worker: the first ones of
// its zone, then of its region, or of all if no daemon of its region is live.
// `daemons` holds the live ones, including `self`.
bool asks_for_health(
    const worker_place& worker,
    const fleet_member& self,
    std::span<const fleet_member> daemons);

// A daemon asks at most this multiple of its even part of the workers, among as
// many daemons as it has ever seen live together, and `min_asked` more. Without
// a bound, daemons that hear of nobody would each ask every worker.
inline constexpr std::size_t max_asked_factor = 3;
inline constexpr std::size_t min_asked = 4;

// What the bound on a daemon's part is computed from.
struct fleet_size
{
    // Live together at most, including this one.
    std::size_t daemons{};
    // Known, whether they have to be asked or not.
    std::size_t workers{};
};

// Returns the indices of the workers that `self` asks.
std::vector<std::size_t> choose_asked_workers(
    std::span<const worker_place> workers,
    const fleet_member& self,
    std::span<const fleet_member> daemons,
    const fleet_size& largest);

} // namespace waxwingvalve::decision::steering
