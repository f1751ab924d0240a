#include "decision/limits/shares.hpp"

#include <algorithm>
#include <optional>

namespace waxwingvalve::decision::limits
{
namespace
{

// One worker of the zone, with what its service's cap leaves it.
struct zone_worker
{
    const schema::service* service{};
    const schema::worker* worker{};
    std::uint32_t part{};
};

std::optional<std::uint32_t> zone_cap_of(
    const records::configuration& in_force, std::string_view zone)
{
    const auto* deployment = in_force.find_deployment();
    if (deployment == nullptr)
    {
        return std::nullopt;
    }
    for (const auto& region : deployment->regions)
    {
        for (const auto& one : region.zones)
        {
            if (one.name == zone && one.concurrent_cap != 0)
            {
                return one.concurrent_cap;
            }
        }
    }
    return std::nullopt;
}

std::optional<std::uint32_t> service_cap_of(
    const schema::service& service, std::string_view zone)
{
    const auto found =
        std::ranges::find(service.caps, zone, &schema::zone_cap::zone);
    return found == service.caps.end() ? std::nullopt
                                       : std::optional{found->concurrent};
}

void apply_cap(std::uint32_t cap, std::span<zone_worker> workers)
{
    std::vector<std::uint32_t> before;
    for (const auto& one : workers)
    {
        before.push_back(one.part);
    }
    const auto parts = split_cap(cap, before);
    for (std::size_t at = 0; at < workers.size(); ++at)
    {
        workers[at].part = parts[at];
    }
}

void add_workers(
    std::vector<zone_worker>& out,
    const schema::service& service,
    std::string_view zone)
{
    const auto first = out.size();
    for (const auto& one : service.workers)
    {
        if (one.zone == zone)
        {
            out.push_back({&service, &one, one.slots});
        }
    }
    if (const auto cap = service_cap_of(service, zone))
    {
        apply_cap(*cap, std::span{out}.subspan(first));
    }
}

base::duration max_run_time_of(const schema::service& service)
{
    auto out = service.deadline;
    for (const auto& one : service.operations)
    {
        out = std::max(out, one.deadline);
    }
    return out;
}

service_share& share_for(
    std::vector<service_share>& out, const schema::service& service)
{
    if (out.empty() || out.back().service != service.name)
    {
        out.push_back({service.name, max_run_time_of(service), {}});
    }
    return out.back();
}

} // namespace

std::vector<service_share> compute_shares(
    const records::configuration& in_force,
    std::string_view zone,
    const std::function<bool(const schema::worker&)>& owns)
{
    std::vector<zone_worker> workers;
    for (const auto& [key, record] : in_force.by_key)
    {
        if (const auto* service = std::get_if<schema::service>(&record.body))
        {
            add_workers(workers, *service, zone);
        }
    }
    if (const auto cap = zone_cap_of(in_force, zone))
    {
        apply_cap(*cap, workers);
    }
    std::vector<service_share> out;
    for (const auto& one : workers)
    {
        if (owns(*one.worker))
        {
            share_for(out, *one.service)
                .workers.push_back({one.worker->address, one.part});
        }
    }
    return out;
}

} // namespace waxwingvalve::decision::limits
