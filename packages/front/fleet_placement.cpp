// Choice of the worker for a request: who may serve it, in which order workers
// are tried, and the limits on what is sent there.
#include <algorithm>

#include <fmt/format.h>

#include "front/fleet_view.hpp"

namespace waxwingvalve::front
{

using base::fail;
using base::result_code;
using steering::ejection_reason;

namespace
{

// For this long after workers were added or removed, the shares of regions may
// change without a limit: the limit would refuse requests although another
// region has free slots.
constexpr base::duration unlimited_shift_duration{std::chrono::seconds{4}};

bool has_homes(const placement_request& request)
{
    return !request.route->home_regions.empty() ||
           (request.account != nullptr &&
            !request.account->home_regions.empty());
}

} // namespace

bool fleet_view::may_serve(
    const steering::worker& worker,
    const placement_request& request,
    bool accept_failing,
    base::instant now) const
{
    const auto& entry = worker.entry();
    if (!usable(worker))
    {
        return false;
    }
    if (!worker.backoff().allows(worker.in_flight(), now) ||
        !rate_limit_pacer_.allows(worker.incarnation(), now))
    {
        return false;
    }
    if (std::ranges::find(request.tried, entry.id) != request.tried.end())
    {
        return false;
    }
    const auto reason = worker.ejection(now);
    if (accept_failing && reason == ejection_reason::failing)
    {
        return true;
    }
    return reason == ejection_reason::none && !worker.probe_in_flight();
}

bool fleet_view::home_region_allows(
    const placement_request& request, std::string_view region)
{
    const auto allows = [&](const std::vector<std::string>& homes) {
        return homes.empty() || std::ranges::find(homes, region) != homes.end();
    };
    return allows(request.route->home_regions) &&
           (request.account == nullptr ||
            allows(request.account->home_regions));
}

bool fleet_view::may_send(
    const steering::worker& worker,
    const placement_request& request,
    base::instant placed_at,
    base::instant now)
{
    const auto& entry = worker.entry();
    const bool known = workers_.find(entry.id).get() == &worker;
    const bool allowed = known && usable(worker) &&
                         !worker.backoff().active(now) &&
                         home_region_allows(request, region_of(entry.zone));
    if (!allowed)
    {
        return false;
    }
    // What has become known since was not counted when it was placed.
    const bool cold = worker.cold(now) && worker.cold_known_since() > placed_at;
    if (cold && !acquire_cold(worker, now))
    {
        return false;
    }
    const auto limit = rate_limits_.find(worker.incarnation());
    const bool limited = limit && limit->known_since > placed_at;
    return !limited || rate_limit_pacer_.try_acquire(worker.incarnation(), now);
}

std::vector<steering::worker_candidate> fleet_view::candidates(
    std::span<const worker_ptr* const> workers,
    const placement_request& request,
    bool accept_failing,
    base::instant now) const
{
    std::vector<steering::worker_candidate> eligible;
    eligible.reserve(workers.size());
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        const auto& worker = **workers[i];
        if (may_serve(worker, request, accept_failing, now))
        {
            const bool same_region =
                region_of(worker.entry().zone) == members.self().region;
            eligible.push_back(
                {.index = i,
                 .id = worker.entry().id,
                 .load = worker.load(now),
                 .slots = worker.slots(),
                 .claim = same_region ? rate_limit_pacer_.claim(
                                            worker.incarnation(), now)
                                      : 0.0});
        }
    }
    return eligible;
}

// A cold worker accepts requests only at the rate set for the service. A worker
// on probation after failures accepts one idempotent request at a time, as a
// probe.
bool fleet_view::take_rate_limited(
    steering::worker& worker,
    const placement_request& request,
    base::instant now)
{
    if (worker.on_probation() && !request.route->idempotent)
    {
        return false;
    }
    if (worker.cold(now) && !acquire_cold(worker, now))
    {
        return false;
    }
    if (worker.on_probation())
    {
        worker.begin_probe();
    }
    return true;
}

// True if no route to the same services has a higher priority. The priority of
// an account replaces that of the route.
bool fleet_view::has_highest_priority(const placement_request& request) const
{
    const auto& route = *request.route;
    const auto priority =
        request.account == nullptr
            ? route.priority
            : request.account->priority.value_or(route.priority);
    return std::ranges::all_of(
        route.parts,
        [&](const steering::split_part& part)
        {
            const auto found = highest_priority_.find(part.service);
            return found == highest_priority_.end() ||
                   priority <= found->second;
        });
}

// Assigns the request to the worker if the limits of the region and of the
// worker allow it.
bool fleet_view::try_assign(
    steering::worker& worker,
    const placement_request& request,
    std::string_view region,
    bool limits_shift,
    base::instant now)
{
    const std::string name{region};
    auto& service = state_of(request.service);
    auto& limiter = service.region_shift_limiter;
    limiter.seed_shares(service.plan.shares(), now);
    const bool limit_applies =
        limits_shift &&
        now - service.plan.replaced_at() > unlimited_shift_duration;
    if (limit_applies && !limiter.allows(name, options_.region_step, now))
    {
        return false;
    }
    const bool limited = worker.cold(now) || worker.on_probation();
    if (limited && !take_rate_limited(worker, request, now))
    {
        return false;
    }
    if (!rate_limit_pacer_.try_acquire(worker.incarnation(), now))
    {
        return false;
    }
    if (limit_applies)
    {
        limiter.count(name, options_.region_step, now);
    }
    else if (limits_shift)
    {
        limiter.follow(name, now);
    }
    worker.request_sent();
    return true;
}

std::vector<std::string_view> fleet_view::regions_for(
    const placement_request& request, const service_state& service) const
{
    auto regions = service.plan.region_order(request.object);
    if (!has_homes(request))
    {
        return regions;
    }
    // The plan leaves out a region whose capacity others need. A request may
    // have its only home there.
    for (const auto& [zone, region] : region_of_zone_)
    {
        if (std::ranges::find(regions, region) == regions.end())
        {
            regions.emplace_back(region);
        }
    }
    std::erase_if(
        regions,
        [&](std::string_view region)
        { return !home_region_allows(request, region); });
    return regions;
}

fleet_view::placement fleet_view::place_among(
    const placement_request& request,
    service_state& service,
    bool accept_failing,
    base::instant now)
{
    placement result;
    auto policy = options_.choice;
    policy.max_utilization = service.utilization_limit.value();
    const bool top_priority = has_highest_priority(request);
    auto& gates = service.spillover_gates;
    const bool local_spillover = gates[members.self().region].open();
    const auto regions = regions_for(request, service);
    // A request with one home cannot change its region.
    const bool limits_shift = !has_homes(request) || regions.size() > 1;
    for (const auto region : regions)
    {
        // Few load reports arrive from remote regions, so spillover to one also
        // requires that the load of the local region is low.
        const bool spillover =
            local_spillover && gates[std::string{region}].open();
        policy.idle_utilization =
            spillover ? options_.choice.idle_utilization : 0.0;
        const auto workers = workers_in(request.service, region);
        const auto eligible = candidates(workers, request, accept_failing, now);
        const auto ranked = steering::rank_workers(
            request.object, eligible, policy, top_priority, result.candidates);
        result.candidates += eligible.size();
        result.with_free_slots += ranked.size();
        for (const auto& next : ranked)
        {
            const auto& worker = *workers[next.index];
            if (try_assign(*worker, request, region, limits_shift, now))
            {
                result.chosen = worker;
                return result;
            }
        }
    }
    return result;
}

base::result<fleet_view::worker_ptr> fleet_view::place(
    const placement_request& request, base::instant now)
{
    auto& service = state_of(request.service);
    if (service.plan.shares().empty())
    {
        service.plan.update(
            region_supplies(request.service, now), members.self().region, now);
    }
    auto found = place_among(request, service, false, now);
    if (!found.chosen && found.candidates == 0)
    {
        found = place_among(request, service, true, now);
    }
    if (found.chosen)
    {
        return found.chosen;
    }
    const auto limited = rate_limited(request.service);
    if (found.candidates == 0 && limited.count == 0)
    {
        return fail(result_code::no_upstream, std::string{request.service});
    }
    return fail(
        result_code::no_room,
        fmt::format(
            "{}: {} workers, {} with room, full at {:.2f}, {} limit their rate "
            "to {:.1f}/s in all",
            request.service,
            found.candidates,
            found.with_free_slots,
            service.utilization_limit.value(),
            limited.count,
            limited.requests_per_s));
}

} // namespace waxwingvalve::front
