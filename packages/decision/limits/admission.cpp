#include "decision/limits/admission.hpp"

#include <algorithm>
#include <numeric>

namespace waxwingvalve::decision::limits
{
namespace
{

std::uint32_t left_of(std::uint64_t whole, std::uint64_t taken)
{
    return static_cast<std::uint32_t>(whole - std::min(whole, taken));
}

} // namespace

std::vector<std::uint32_t> split_cap(
    std::uint32_t cap, std::span<const std::uint32_t> slots)
{
    const auto total =
        std::accumulate(slots.begin(), slots.end(), std::uint64_t{0});
    const auto held = std::min<std::uint64_t>(cap, total);
    std::vector<std::uint32_t> out;
    std::uint64_t slots_before{0};
    std::uint64_t given{0};
    for (const auto own : slots)
    {
        // Rounding the running sum down, and not each part, loses nothing.
        slots_before += own;
        const auto due = total == 0 ? 0 : held * slots_before / total;
        out.push_back(static_cast<std::uint32_t>(due - given));
        given = due;
    }
    return out;
}

std::uint32_t admission::counted_worker::free(base::instant now) const
{
    return owned ? left_of(limit.max_concurrent(now), in_use) : 0;
}

void admission::set_owned_workers(
    std::span<const service_share> owned, base::instant now)
{
    std::map<base::endpoint, counted_worker> next;
    for (const auto& service : owned)
    {
        for (const auto& share : service.workers)
        {
            const auto before = workers_.find(share.address);
            const bool kept = before != workers_.end();
            counted_worker now_owned{
                service.service,
                share,
                worker_limit{share.slots, now, service.max_run_time}};
            if (kept)
            {
                now_owned.in_use = before->second.in_use;
                now_owned.peak_in_use = before->second.peak_in_use;
            }
            if (kept && before->second.owned)
            {
                now_owned.limit = before->second.limit;
                now_owned.limit.set_slots(share.slots);
            }
            next.insert_or_assign(share.address, std::move(now_owned));
        }
    }
    for (auto& [address, one] : workers_)
    {
        if (one.in_use > 0 && !next.contains(address))
        {
            // Coming back it counts as taken over anew.
            one.owned = false;
            next.insert_or_assign(address, std::move(one));
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
    for (auto& [address, one] : workers_)
    {
        const bool open = one.service == service && one.free(now) > 0 &&
                          std::ranges::find(except, address) == except.end();
        if (open && (best == nullptr || one.free(now) > best->free(now)))
        {
            best = &one;
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
    slot_counts out;
    for (const auto& [address, one] : workers_)
    {
        if (one.owned && one.service == service)
        {
            out.slots += one.share.slots;
            out.free += one.free(now);
        }
    }
    return out;
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
    std::set<base::endpoint> out;
    for (const auto& [address, one] : workers_)
    {
        if (one.in_use > 0)
        {
            out.insert(address);
        }
    }
    return out;
}

worker_limit* admission::find_limit(const base::endpoint& worker)
{
    const auto found = workers_.find(worker);
    const bool owned = found != workers_.end() && found->second.owned;
    return owned ? &found->second.limit : nullptr;
}

} // namespace waxwingvalve::decision::limits
