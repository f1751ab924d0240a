// Selects the worker for a request.
//
// Requests for one object go to the same worker while it has room, because a
// worker that handled the object recently needs far less time for it.
// Rendezvous hashing (Thaler and Ravishankar, 1998) gives each object the same
// ranking of the workers on every daemon. A load bound (after Mirrokni, Thorup
// and Zadimoghaddam, 2016) moves the excess to the next worker in the ranking,
// which therefore stays warm for the object as well. region_plan decides which
// region's workers are tried first.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace waxwingvalve::decision::steering
{

struct choice_policy
{
    // Requests, as a multiple of the slots, from which on a worker is full.
    double max_utilization{3.5};
    // Added to max_utilization for urgent requests.
    double urgent_headroom{0.5};
    // First workers of an object's ranking that may take it until they are
    // full. They stay warm for it.
    std::size_t warm_ranks{2};
    // Other workers take a request only below this multiple of their slots: a
    // cold run takes as long as several warm ones, which is affordable only on
    // idle slots.
    double idle_utilization{0.7};
};

struct worker_candidate
{
    // Index in the caller's list of workers.
    std::size_t index{};
    std::string_view id{};
    double load{};
    std::uint32_t slots{1};
    // Part of all objects, in [0, 1], that it takes before any other worker.
    double claim{};
};

struct ranked_worker
{
    std::size_t index{};
    double rank{};
    // Load as a multiple of the slots.
    double utilization{};
};

// Returns the candidates with room, in the order in which to try them: those
// that claim the object, then the others by their rank.
// `preceding_workers` is the number of workers that rank before all candidates,
// such as those of another region. `urgent` raises the limit of max_utilization
// by urgent_headroom.
std::vector<ranked_worker> rank_workers(
    std::string_view object,
    std::span<const worker_candidate> candidates,
    const choice_policy& policy,
    bool urgent,
    std::size_t preceding_workers = 0);

// Returns the rank of a worker for an object, in [0, 1); the lowest is tried
// first. Equal on all daemons.
double hash_rank(std::string_view object, std::string_view worker_id);

} // namespace waxwingvalve::decision::steering
