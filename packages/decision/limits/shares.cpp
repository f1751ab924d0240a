#include "decision/limits/shares.hpp"

#include <algorithm>
#include <optional>

namespace waxwingvalve::decision::limits
{
namespace
{

// A worker of the zone with its share of the slots after the caps applied so
// far.
struct zone_worker
{
    const schema::service* service{};
    const schema::worker* worker{};
    std::uint32_t share{};
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
        for (const auto& zone_record : region.zones)
        {
            if (zone_record.name == zone && zone_record.concurrent_cap != 0)
            {
                return zone_record.concurrent_cap;
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
    std::vector<std::uint32_t> shares_before;
    for (const auto& worker : workers)
    {
        shares_before.push_back(worker.share);
    }
    const auto shares = split_cap(cap, shares_before);
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        workers[i].share = shares[i];
    }
}

void add_workers(
    std::vector<zone_worker>& workers,
    const schema::service& service,
    std::string_view zone)
{
    const auto first = workers.size();
    for (const auto& worker : service.workers)
    {
        if (worker.zone == zone)
        {
            workers.push_back({&service, &worker, worker.slots});
        }
    }
    if (const auto cap = service_cap_of(service, zone))
    {
        apply_cap(*cap, std::span{workers}.subspan(first));
    }
}

base::duration max_run_time_of(const schema::service& service)
{
    auto max_run_time = service.deadline;
    for (const auto& operation : service.operations)
    {
        max_run_time = std::max(max_run_time, operation.deadline);
    }
    return max_run_time;
}

service_share& share_for(
    std::vector<service_share>& shares, const schema::service& service)
{
    if (shares.empty() || shares.back().service != service.name)
    {
        shares.push_back({service.name, max_run_time_of(service), {}});
    }
    return shares.back();
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
    std::vector<service_share> shares;
    for (const auto& item : workers)
    {
        if (owns(*item.worker))
        {
            share_for(shares, *item.service)
                .workers.push_back({item.worker->address, item.share});
        }
    }
    return shares;
}

} // namespace waxwingvalve::decision::limits
