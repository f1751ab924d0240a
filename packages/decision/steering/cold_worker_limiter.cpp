#include "decision/steering/cold_worker_limiter.hpp"

#include <algorithm>

#include "decision/steering/worker_choice.hpp"

namespace waxwingvalve::decision::steering
{
namespace
{

bool is_sender(
    std::string_view worker_id,
    std::string_view self,
    std::span<const std::string> daemons)
{
    const double own_rank = hash_rank(worker_id, self);
    const auto preceding = std::ranges::count_if(
        daemons,
        [&](const std::string& daemon)
        { return daemon != self && hash_rank(worker_id, daemon) < own_rank; });
    return static_cast<std::size_t>(preceding) <
           cold_worker_limiter::max_senders;
}

} // namespace

bool cold_worker_limiter::try_acquire(
    std::string_view worker_id,
    double requests_per_s,
    std::string_view self,
    std::span<const std::string> daemons,
    bool settled,
    base::instant now)
{
    const bool alone = daemons.size() <= 1;
    if (!settled || (!alone && !is_sender(worker_id, self, daemons)))
    {
        return false;
    }
    auto found = workers_.find(worker_id);
    if (found == workers_.end())
    {
        found = workers_.emplace(std::string{worker_id}, worker_state{}).first;
    }
    if (now < found->second.next_send || requests_per_s <= 0)
    {
        return false;
    }
    const double sender_count =
        alone ? assumed_daemons
              : static_cast<double>(std::min(max_senders, daemons.size()));
    const std::chrono::duration<double> interval{sender_count / requests_per_s};
    found->second.next_send =
        now + std::chrono::duration_cast<base::duration>(interval);
    return true;
}

void cold_worker_limiter::remove_idle(base::instant before)
{
    std::erase_if(
        workers_,
        [&](const auto& item) { return item.second.next_send < before; });
}

} // namespace waxwingvalve::decision::steering
