#include "decision/drains/drain_set.hpp"

namespace waxwingvalve::decision::drains
{
namespace
{

void add_target(drain_set& targets, const schema::drain& record)
{
    switch (record.target_kind)
    {
    case schema::drain_target::worker:
        // Targets that are not valid addresses are ignored.
        if (auto address = base::parse_endpoint(record.target))
        {
            targets.workers.insert(std::move(address).value());
        }
        return;
    case schema::drain_target::entry:
        targets.entries.insert(record.target);
        return;
    case schema::drain_target::zone:
        targets.zones.insert(record.target);
        return;
    }
}

} // namespace

bool drain_set::contains_worker(const schema::worker& worker) const
{
    return workers.contains(worker.address) || zones.contains(worker.zone);
}

bool drain_set::contains_entry(
    std::string_view name, std::string_view zone) const
{
    return entries.contains(name) || zones.contains(zone);
}

drain_set collect_drains(const records::configuration& in_force)
{
    drain_set targets;
    for (const auto& [key, record] : in_force.by_key)
    {
        if (const auto* drain = std::get_if<schema::drain>(&record.body))
        {
            add_target(targets, *drain);
        }
    }
    return targets;
}

} // namespace waxwingvalve::decision::drains
