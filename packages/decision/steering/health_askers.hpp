// Chooses the daemons that ask a worker for its health while discovery can't be
// read.
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

// Returns the indices of the workers that `self` asks. `largest_fleet` is the
// number of daemons that were live together at most, including `self`.
std::vector<std::size_t> choose_asked_workers(
    std::span<const worker_place> workers,
    const fleet_member& self,
    std::span<const fleet_member> daemons,
    std::size_t largest_fleet);

} // namespace waxwingvalve::decision::steering
