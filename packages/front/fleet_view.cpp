// Fleet state and worker selection.
#include "front/fleet_view.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include <fmt/format.h>

#include "base/log.hpp"

namespace waxwingvalve::front
{

using base::fail;
using base::result_code;
using steering::ejection_reason;

namespace
{

// Time constant of the moving average of the published request rate.
constexpr std::chrono::duration<double> rate_time_constant{3.0};
// Requests per second added to the reported demand of every zone, so that
// capacity can be divided also in a fleet without traffic.
constexpr double base_demand = 1.0;
// For this long after workers were added or removed, the shares of regions may
// change without a limit: the limit would refuse requests although another
// region has free slots.
constexpr base::duration unlimited_shift_duration{std::chrono::seconds{4}};
// Weight of the newest outcome in the moving average of failures.
constexpr double failure_weight = 0.02;

std::string_view name_of(ejection_reason reason)
{
    switch (reason)
    {
    case ejection_reason::none:
        return "none";
    case ejection_reason::unreachable:
        return "unreachable";
    case ejection_reason::failing:
        return "failing";
    }
    return "unknown";
}

void update_failure_share(double& share, bool failed)
{
    share += failure_weight * ((failed ? 1.0 : 0.0) - share);
}

// Runs `event` and logs the worker if that ejects it and it was not ejected
// before.
template <typename Event>
void log_ejection(
    const steering::worker& worker,
    double peer_failure_share,
    base::instant now,
    Event event)
{
    const auto before = worker.ejection(now);
    event();
    const auto reason = worker.ejection(now);
    if (before != ejection_reason::none || reason == ejection_reason::none)
    {
        return;
    }
    base::log_event(
        base::log_level::info,
        base::log_channel::routing,
        "worker_doubted",
        "worker",
        worker.entry().id,
        "reason",
        name_of(reason),
        "failing",
        worker.failure_share(),
        "peers_failing",
        peer_failure_share,
        "in_flight",
        worker.in_flight());
}

} // namespace

fleet_view::fleet_view(
    fleet_options options,
    steering::fleet_member self,
    std::map<std::string, std::string> region_of_zone,
    std::uint64_t seed)
    : members{std::move(self), seed}, crash_gossip{seed + 1}, options_{options},
      region_of_zone_{std::move(region_of_zone)}, split_picker_{seed + 2}
{
}

bool fleet_view::adopt(steering::configuration next)
{
    if (next.version <= configuration_.version)
    {
        return false;
    }
    configuration_ = std::move(next);
    routes_ = steering::route_table{configuration_.routes};
    highest_priority_.clear();
    for (const auto& route : configuration_.routes)
    {
        for (const auto& part : route.parts)
        {
            const auto inserted =
                highest_priority_.try_emplace(part.service, route.priority);
            inserted.first->second =
                std::min(inserted.first->second, route.priority);
        }
    }
    return true;
}

steering::entry_change fleet_view::put_worker(
    steering::worker_entry entry, base::instant now)
{
    return workers_.put(std::move(entry), now);
}

bool fleet_view::remove_worker(const std::string& id, base::instant now)
{
    cold_worker_limiter_.remove_idle(now - std::chrono::minutes{1});
    return workers_.remove(id);
}

void fleet_view::evacuate_zone(const std::string& zone, base::instant now)
{
    evacuated_zones_.insert(zone);
    // Workers may have turned cold just before the evacuation, so they are
    // treated as cold until they report otherwise.
    for (const auto& [id, worker] : workers_.all())
    {
        if (worker->entry().zone == zone)
        {
            worker->set_cold_time_left(std::chrono::hours{1}, now);
        }
    }
}

void fleet_view::restore_zone(const std::string& zone, base::instant now)
{
    evacuated_zones_.erase(zone);
    for (const auto& [id, worker] : workers_.all())
    {
        if (worker->entry().zone != zone)
        {
            continue;
        }
        const auto service =
            configuration_.services.find(worker->entry().service);
        if (service != configuration_.services.end())
        {
            worker->set_cold_time_left(service->second.cold_time, now);
        }
    }
}

fleet_view::service_state& fleet_view::state_of(std::string_view service)
{
    const auto known = services_.find(service);
    return known != services_.end()
               ? known->second
               : services_.try_emplace(std::string{service}).first->second;
}

std::string fleet_view::begin_request(
    const steering::route& route, base::instant now)
{
    ++requests_since_measured_;
    auto service = split_picker_.next(route);
    state_of(service).retry_budget.count_request(now);
    return service;
}

std::string fleet_view::region_of(const std::string& zone) const
{
    const auto found = region_of_zone_.find(zone);
    return found == region_of_zone_.end() ? std::string{} : found->second;
}

std::size_t fleet_view::daemon_count() const
{
    return std::max(options_.min_daemons, members.peak_live_count());
}

void fleet_view::refresh_members(base::instant now)
{
    live_daemon_names_ = members.live_names(now);
    update_request_rate(now);
    for (auto& [service, state] : services_)
    {
        if (!state.plan.shares().empty())
        {
            state.plan.update(
                region_supplies(service, now), members.self().region, now);
        }
    }
}

void fleet_view::update_request_rate(base::instant now)
{
    const std::chrono::duration<double> elapsed{now - rate_measured_at_};
    if (elapsed.count() <= 0)
    {
        return;
    }
    const double decay = std::exp(-(elapsed / rate_time_constant));
    const double rate = requests_since_measured_ / elapsed.count();
    requests_per_s_ = decay * requests_per_s_ + (1 - decay) * rate;
    requests_since_measured_ = 0;
    rate_measured_at_ = now;
    constexpr double max_rate = std::numeric_limits<std::uint16_t>::max();
    members.set_requests_per_s(
        static_cast<std::uint16_t>(std::min(requests_per_s_, max_rate)));
}

// Computes slots and demand per region. Until the list of daemons has settled,
// every zone is assumed to have the same demand.
std::vector<steering::region_supply> fleet_view::region_supplies(
    std::string_view service, base::instant now) const
{
    std::map<std::string, steering::region_supply> by_region;
    for (const auto& [zone, region] : region_of_zone_)
    {
        auto& supply = by_region[region];
        supply.region = region;
        supply.demand += base_demand;
    }
    for (const auto& [zone, workers] : workers_.of_service(service))
    {
        auto& supply = by_region[region_of(zone)];
        for (const auto& worker : workers)
        {
            const bool usable =
                !worker->entry().draining && !evacuated_zones_.contains(zone);
            supply.slots += usable ? worker->slots() : 0.0;
        }
    }
    if (members.settled(now))
    {
        for (const auto& daemon : members.live(now))
        {
            by_region[daemon.region].demand += daemon.requests_per_s;
        }
    }
    std::vector<steering::region_supply> supplies;
    for (auto& [region, supply] : by_region)
    {
        supply.region = region;
        supplies.push_back(std::move(supply));
    }
    return supplies;
}

std::vector<const fleet_view::worker_ptr*> fleet_view::workers_in(
    std::string_view service, std::string_view region) const
{
    std::vector<const worker_ptr*> matches;
    for (const auto& [zone, workers] : workers_.of_service(service))
    {
        if (region_of(zone) == region)
        {
            for (const auto& worker : workers)
            {
                matches.push_back(&worker);
            }
        }
    }
    return matches;
}

void fleet_view::record_latency(
    const std::string& service, base::duration latency, base::duration target)
{
    state_of(service).utilization_limit.record(latency, target);
}

void fleet_view::record_load(
    steering::worker& worker,
    const steering::load_report& load,
    base::instant now)
{
    const auto& entry = worker.entry();
    worker.report(load, now);
    state_of(entry.service).spillover_gates[region_of(entry.zone)].record(load);
}

void fleet_view::record_leaving(
    steering::worker& worker, std::uint64_t incarnation_digest)
{
    // Another incarnation may have got its id and address meanwhile.
    if (worker.entry().draining ||
        steering::incarnation_digest(worker.entry()) != incarnation_digest)
    {
        return;
    }
    workers_.set_leaving(worker);
    base::log_event(
        base::log_level::info,
        base::log_channel::routing,
        "worker_leaving",
        "worker",
        worker.entry().id,
        "told_by",
        "answer");
}

base::duration fleet_view::backoff_left(
    std::string_view service, base::instant now) const
{
    std::optional<base::duration> shortest;
    for (const auto& [zone, workers] : workers_.of_service(service))
    {
        for (const auto& worker : workers)
        {
            if (worker->entry().draining || evacuated_zones_.contains(zone))
            {
                continue;
            }
            const auto left = worker->backoff().left(now);
            shortest = std::min(shortest.value_or(left), left);
        }
    }
    return shortest.value_or(base::duration{});
}

void fleet_view::record_outcome(
    steering::worker& worker, bool failed, base::instant now)
{
    auto& peer_failure_share = state_of(worker.entry().service).failure_share;
    update_failure_share(peer_failure_share, failed);
    log_ejection(
        worker,
        peer_failure_share,
        now,
        [&] { worker.record_answer(failed, peer_failure_share, now); });
}

void fleet_view::record_timeout(steering::worker& worker, base::instant now)
{
    auto& peer_failure_share = state_of(worker.entry().service).failure_share;
    update_failure_share(peer_failure_share, true);
    log_ejection(
        worker,
        peer_failure_share,
        now,
        [&] { worker.record_timeout(peer_failure_share, now); });
}

void fleet_view::record_unreachable(steering::worker& worker, base::instant now)
{
    const double peer_failure_share =
        state_of(worker.entry().service).failure_share;
    log_ejection(
        worker,
        peer_failure_share,
        now,
        [&] { worker.eject(ejection_reason::unreachable, now); });
}

bool fleet_view::spend_retry(const std::string& service, base::instant now)
{
    return state_of(service).retry_budget.spend(
        options_.retry_budget, daemon_count(), now);
}

bool fleet_view::may_serve(
    const steering::worker& worker,
    const placement_request& request,
    bool accept_failing,
    base::instant now) const
{
    const auto& entry = worker.entry();
    if (entry.draining || evacuated_zones_.contains(entry.zone))
    {
        return false;
    }
    if (!worker.backoff().allows(worker.in_flight(), now))
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
    const steering::route& route, std::string_view region) const
{
    const auto& homes = route.home_regions;
    return homes.empty() || std::ranges::find(homes, region) != homes.end();
}

bool fleet_view::may_send(
    const steering::worker& worker,
    const steering::route& route,
    base::instant now) const
{
    const auto& entry = worker.entry();
    const bool known = workers_.find(entry.id).get() == &worker;
    return known && !entry.draining && !worker.backoff().active(now) &&
           !evacuated_zones_.contains(entry.zone) &&
           home_region_allows(route, region_of(entry.zone));
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
            eligible.push_back(
                {i, worker.entry().id, worker.load(now), worker.slots()});
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
    if (worker.cold(now))
    {
        const auto service =
            configuration_.services.find(worker.entry().service);
        const double rate = service == configuration_.services.end()
                                ? 0.0
                                : service->second.cold_requests_per_s;
        if (!cold_worker_limiter_.try_acquire(
                worker.entry().id,
                rate,
                members.self().name,
                live_daemon_names_,
                members.settled(now),
                now))
        {
            return false;
        }
    }
    if (worker.on_probation())
    {
        worker.begin_probe();
    }
    return true;
}

// True if no route to the same services has a higher priority.
bool fleet_view::has_highest_priority(const steering::route& route) const
{
    return std::ranges::all_of(
        route.parts,
        [&](const steering::split_part& part)
        {
            const auto found = highest_priority_.find(part.service);
            return found == highest_priority_.end() ||
                   route.priority <= found->second;
        });
}

// Assigns the request to the worker if the limits of the region and of the
// worker allow it.
bool fleet_view::try_assign(
    steering::worker& worker,
    const placement_request& request,
    std::string_view region,
    const steering::region_plan& plan,
    base::instant now)
{
    const std::string name{region};
    region_shift_limiter_.seed_shares(plan.shares(), now);
    const bool limit_applies =
        now - plan.replaced_at() > unlimited_shift_duration;
    if (limit_applies &&
        !region_shift_limiter_.allows(name, options_.region_step, now))
    {
        return false;
    }
    const bool limited = worker.cold(now) || worker.on_probation();
    if (limited && !take_rate_limited(worker, request, now))
    {
        return false;
    }
    region_shift_limiter_.count(name, options_.region_step, now);
    worker.request_sent();
    return true;
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
    const bool top_priority = has_highest_priority(*request.route);
    auto& gates = service.spillover_gates;
    const bool local_spillover = gates[members.self().region].open();
    for (const auto region : service.plan.region_order(request.object))
    {
        if (!home_region_allows(*request.route, region))
        {
            continue;
        }
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
            if (try_assign(*worker, request, region, service.plan, now))
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
    if (found.candidates == 0)
    {
        return fail(result_code::no_upstream, std::string{request.service});
    }
    return fail(
        result_code::no_room,
        fmt::format(
            "{}: {} workers, {} with room, full at {:.2f}",
            request.service,
            found.candidates,
            found.with_free_slots,
            service.utilization_limit.value()));
}

} // namespace waxwingvalve::front
