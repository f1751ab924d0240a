#include "decision/steering/restored_entries.hpp"

#include <utility>

namespace waxwingvalve::decision::steering
{
namespace
{

// Whether a report of a worker was made after another one of the same worker.
bool reported_after(const worker_entry& one, const worker_entry& other)
{
    return std::pair{one.started_at_ms, one.report_number} >
           std::pair{other.started_at_ms, other.report_number};
}

} // namespace

void restored_entries::record_removed(
    const worker_entry& entry, base::instant now)
{
    std::erase_if(
        removed_,
        [now](const auto& item)
        { return now - item.second.since > memory_time; });
    removed_[entry.id] = {entry, now};
}

bool restored_entries::hold_back(
    const worker_entry& listed, const worker_entry* known, base::instant now)
{
    if (known == nullptr)
    {
        const auto removed = removed_.find(listed.id);
        if (removed == removed_.end() ||
            now - removed->second.since > memory_time)
        {
            return false;
        }
        known = &removed->second.entry;
    }
    if (reported_after(listed, *known))
    {
        return false;
    }
    held_back_[listed.id] = {listed, now};
    return true;
}

void restored_entries::store_returned(base::instant now)
{
    for (auto& [id, held_back] : held_back_)
    {
        held_back.since = now;
    }
}

std::vector<worker_entry> restored_entries::take_outlived(base::instant as_of)
{
    std::vector<worker_entry> outlived;
    std::erase_if(
        held_back_,
        [&](auto& item)
        {
            if (as_of - item.second.since < entry_lifetime_)
            {
                return false;
            }
            outlived.push_back(std::move(item.second.entry));
            return true;
        });
    return outlived;
}

} // namespace waxwingvalve::decision::steering
