// Which worker gets a request.
//
// Requests for one object go to the same worker as long as it has room,
// because a worker that handled the object lately needs far less time for
// it. Rendezvous hashing (Thaler and Ravishankar, 1998) ranks the workers for
// each object the same way on every daemon; a bound on the load (after
// Mirrokni, Thorup and Zadimoghaddam, 2016) moves what does not fit to the
// next one in rank, which therefore stays warm for it as well. Which region's
// workers are asked first is the business of region_plan.
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
    // A worker is full at this multiple of its slots.
    double full_at{3.5};
    // More urgent requests may queue beyond it, up to this many slots.
    double urgent_extra{0.5};
    // Workers at the head of an object's rank that may take it as long as
    // they are not full. They stay warm for it.
    std::size_t warm_ranks{2};
    // A worker further down takes it only below this multiple of its slots:
    // a cold run there costs several warm ones, which only idle slots pay.
    double idle_below{0.7};
};

struct worker_candidate
{
    // Index in the caller's own list.
    std::size_t index{};
    std::string_view id{};
    double load{};
    std::uint32_t slots{1};
};

struct ranked_worker
{
    std::size_t index{};
    double rank{};
    // Load in parts of the slots.
    double fullness{};
};

// The candidates with room, in the order in which they should be tried.
// `better` workers were asked before these. `urgent` requests find room where
// others do not.
std::vector<ranked_worker> rank_workers(
    std::string_view object,
    std::span<const worker_candidate> candidates,
    const choice_policy& policy,
    bool urgent,
    std::size_t better = 0);

// The position of a worker for an object, in [0, 1); lower comes first. All
// daemons compute the same.
double hash_rank(std::string_view object, std::string_view worker_id);

} // namespace waxwingvalve::decision::steering
