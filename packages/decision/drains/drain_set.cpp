#include "decision/drains/drain_set.hpp"

namespace waxwingvalve::decision::drains
{
namespace
{

void add(drain_set& out, const schema::drain& record)
{
    switch (record.target_kind)
    {
    case schema::drain_target::worker:
        // A target that is no address drains nothing.
        if (auto address = base::parse_endpoint(record.target))
        {
            out.workers.insert(std::move(address).value());
        }
        return;
    case schema::drain_target::entry:
        out.entries.insert(record.target);
        return;
    case schema::drain_target::zone:
        out.zones.insert(record.target);
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
    drain_set out;
    for (const auto& [key, record] : in_force.by_key)
    {
        if (const auto* drain = std::get_if<schema::drain>(&record.body))
        {
            add(out, *drain);
        }
    }
    return out;
}

} // namespace waxwingvalve::decision::drains
