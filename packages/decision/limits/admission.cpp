#include "decision/limits/admission.hpp"

#include <algorithm>
#include <numeric>

namespace waxwingvalve::decision::limits
{
namespace
{

// Subtracts without wrapping below zero.
std::uint32_t subtract_saturated(
    std::uint64_t minuend, std::uint64_t subtrahend)
{
    return static_cast<std::uint32_t>(minuend - std::min(minuend, subtrahend));
}

} // namespace

std::vector<std::uint32_t> split_cap(
    std::uint32_t cap, std::span<const std::uint32_t> slots)
{
    const auto total =
        std::accumulate(slots.begin(), slots.end(), std::uint64_t{0});
    const auto effective_cap = std::min<std::uint64_t>(cap, total);
    std::vector<std::uint32_t> shares;
    std::uint64_t slots_before{0};
    std::uint64_t assigned{0};
    for (const auto worker_slots : slots)
    {
        // Rounds down the running sum, not each share, so that the shares
        // add up to the whole cap.
        slots_before += worker_slots;
        const auto cumulative_share =
            total == 0 ? 0 : effective_cap * slots_before / total;
        shares.push_back(
            static_cast<std::uint32_t>(cumulative_share - assigned));
        assigned = cumulative_share;
    }
    return shares;
}

std::uint32_t admission::counted_worker::free(base::instant now) const
{
    return owned ? subtract_saturated(limit.max_concurrent(now), in_use) : 0;
}

void admission::set_owned_workers(
    std::span<const service_share> owned, base::instant now)
{
    std::map<base::endpoint, counted_worker> next;
    for (const auto& service : owned)
    {
        for (const auto& share : service.workers)
        {
            const auto previous = workers_.find(share.address);
            const bool known = previous != workers_.end();
            counted_worker updated{
                service.service,
                share,
                worker_limit{share.slots, now, service.max_run_time}};
            if (known)
            {
                updated.in_use = previous->second.in_use;
                updated.peak_in_use = previous->second.peak_in_use;
            }
            if (known && previous->second.owned)
            {
                updated.limit = previous->second.limit;
                updated.limit.set_slots(share.slots);
            }
            next.insert_or_assign(share.address, std::move(updated));
        }
    }
    for (auto& [address, worker] : workers_)
    {
        if (worker.in_use > 0 && !next.contains(address))
        {
            // Keep counting its running requests. If ownership returns, the
            // worker gets a new limit and slow start.
            worker.owned = false;
            next.insert_or_assign(address, std::move(worker));
        }
    }
    workers_ = std::move(next);
}

std::optional<base::endpoint> admission::admit(
    std::string_view service, base::instant now)
{
    return admit_except(service, {}, now);
}

std::optional<base::endpoint> admission::admit_except(
    std::string_view service,
    std::span<const base::endpoint> except,
    base::instant now)
{
    counted_worker* best = nullptr;
    for (auto& [address, worker] : workers_)
    {
        const bool open = worker.service == service && worker.free(now) > 0 &&
                          std::ranges::find(except, address) == except.end();
        if (open && (best == nullptr || worker.free(now) > best->free(now)))
        {
            best = &worker;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    ++best->in_use;
    best->peak_in_use = std::max(best->peak_in_use, best->in_use);
    return best->share.address;
}

void admission::release(const base::endpoint& worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end() || found->second.in_use == 0)
    {
        return;
    }
    --found->second.in_use;
    if (!found->second.owned && found->second.in_use == 0)
    {
        workers_.erase(found);
    }
}

slot_counts admission::count_slots(
    std::string_view service, base::instant now) const
{
    slot_counts counts;
    for (const auto& [address, worker] : workers_)
    {
        if (worker.owned && worker.service == service)
        {
            counts.slots += worker.share.slots;
            counts.free += worker.free(now);
        }
    }
    return counts;
}

std::uint32_t admission::in_use(const base::endpoint& worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? 0 : found->second.in_use;
}

std::uint32_t admission::take_peak_in_use(const base::endpoint& worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
    {
        return 0;
    }
    return std::exchange(found->second.peak_in_use, found->second.in_use);
}

std::set<base::endpoint> admission::running_workers() const
{
    std::set<base::endpoint> running;
    for (const auto& [address, worker] : workers_)
    {
        if (worker.in_use > 0)
        {
            running.insert(address);
        }
    }
    return running;
}

worker_limit* admission::find_limit(const base::endpoint& worker)
{
    const auto found = workers_.find(worker);
    const bool owned = found != workers_.end() && found->second.owned;
    return owned ? &found->second.limit : nullptr;
}

} // namespace waxwingvalve::decision::limits
