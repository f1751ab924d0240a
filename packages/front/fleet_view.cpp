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

// Memory of the rate of requests that other daemons are told.
constexpr std::chrono::duration<double> rate_memory{3.0};
// Requests a second that every zone is taken to have beside those that are
// told, so that a fleet without callers has a division too.
constexpr double least_demand = 1.0;
// For this long after workers came or went the shares of regions may change
// freely: the pace would refuse requests that have room elsewhere.
constexpr base::duration capacity_change_time{std::chrono::seconds{4}};
// Weight of the newest answer in the share of failures of a service.
constexpr double failing_weight = 0.02;

std::string_view name_of(ejection_reason doubt)
{
    switch (doubt)
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

// Logs that the event lets the worker be doubted, if it was not before.
template <typename Event>
void log_new_doubt(
    const steering::worker& one,
    double peers_failing,
    base::instant now,
    Event event)
{
    const auto before = one.ejection(now);
    event();
    const auto doubt = one.ejection(now);
    if (before != ejection_reason::none || doubt == ejection_reason::none)
    {
        return;
    }
    base::log_event(
        base::log_level::info,
        base::log_channel::routing,
        "worker_doubted",
        "worker",
        one.entry().id,
        "reason",
        name_of(doubt),
        "failing",
        one.failure_share(),
        "peers_failing",
        peers_failing,
        "in_flight",
        one.in_flight());
}

} // namespace

fleet_view::fleet_view(
    fleet_terms terms,
    steering::fleet_member self,
    std::map<std::string, std::string> region_of_zone,
    std::uint64_t seed)
    : members{std::move(self), seed}, news{seed + 1}, terms_{terms},
      region_of_zone_{std::move(region_of_zone)}
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
    highest_rank_.clear();
    for (const auto& route : configuration_.routes)
    {
        for (const auto& part : route.parts)
        {
            const auto known =
                highest_rank_.try_emplace(part.service, route.priority);
            known.first->second = std::min(known.first->second, route.priority);
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
    cold_pace_.remove_idle(now - std::chrono::minutes{1});
    return workers_.remove(id);
}

void fleet_view::evacuate(const std::string& zone, base::instant now)
{
    evacuated_.insert(zone);
    // Workers of a zone that is taken out may have become cold just before;
    // until a report says otherwise they are when they come back.
    for (const auto& [id, one] : workers_.all())
    {
        if (one->entry().zone == zone)
        {
            one->set_cold_time_left(std::chrono::hours{1}, now);
        }
    }
}

void fleet_view::take_back(const std::string& zone, base::instant now)
{
    evacuated_.erase(zone);
    for (const auto& [id, one] : workers_.all())
    {
        if (one->entry().zone != zone)
        {
            continue;
        }
        const auto terms = configuration_.services.find(one->entry().service);
        if (terms != configuration_.services.end())
        {
            one->set_cold_time_left(terms->second.cold_time, now);
        }
    }
}

std::string fleet_view::begin_request(
    const steering::route& route, base::instant now)
{
    ++requests_;
    auto service = splits_.next(route);
    budgets_[service].count_request(now);
    return service;
}

std::string fleet_view::region_of(const std::string& zone) const
{
    const auto found = region_of_zone_.find(zone);
    return found == region_of_zone_.end() ? std::string{} : found->second;
}

std::size_t fleet_view::daemons() const
{
    return std::max(terms_.least_daemons, members.peak_live_count());
}

void fleet_view::refresh_members(base::instant now)
{
    live_names_ = members.live_names(now);
    measure_requests(now);
    for (auto& [service, plan] : plans_)
    {
        plan.update(supplies(service, now), members.self().region, now);
    }
}

void fleet_view::measure_requests(base::instant now)
{
    const std::chrono::duration<double> passed{now - measured_at_};
    if (passed.count() <= 0)
    {
        return;
    }
    const double kept = std::exp(-(passed / rate_memory));
    const double rate = requests_ / passed.count();
    requests_per_s_ = kept * requests_per_s_ + (1 - kept) * rate;
    requests_ = 0;
    measured_at_ = now;
    constexpr double most = std::numeric_limits<std::uint16_t>::max();
    members.set_requests_per_s(
        static_cast<std::uint16_t>(std::min(requests_per_s_, most)));
}

// Until the list of daemons had time to fill, all regions are taken to have
// the same demand for each of their zones.
std::vector<steering::region_supply> fleet_view::supplies(
    std::string_view service, base::instant now) const
{
    std::map<std::string, steering::region_supply> by_region;
    for (const auto& [zone, region] : region_of_zone_)
    {
        auto& one = by_region[region];
        one.region = region;
        one.demand += least_demand;
    }
    for (const auto& [zone, workers] : workers_.of_service(service))
    {
        auto& one = by_region[region_of(zone)];
        for (const auto& worker : workers)
        {
            const bool usable =
                !worker->entry().draining && !evacuated_.contains(zone);
            one.slots += usable ? worker->slots() : 0.0;
        }
    }
    if (members.settled(now))
    {
        for (const auto& one : members.live(now))
        {
            by_region[one.region].demand += one.requests_per_s;
        }
    }
    std::vector<steering::region_supply> out;
    for (auto& [region, one] : by_region)
    {
        one.region = region;
        out.push_back(std::move(one));
    }
    return out;
}

std::vector<const fleet_view::worker_ptr*> fleet_view::workers_in(
    std::string_view service, std::string_view region) const
{
    std::vector<const worker_ptr*> out;
    for (const auto& [zone, workers] : workers_.of_service(service))
    {
        if (region_of(zone) == region)
        {
            for (const auto& one : workers)
            {
                out.push_back(&one);
            }
        }
    }
    return out;
}

void fleet_view::note_answer(
    const std::string& service, base::duration took, base::duration target)
{
    limits_[service].record(took, target);
}

void fleet_view::note_load(
    steering::worker& from,
    const steering::load_report& load,
    base::instant now)
{
    const auto& entry = from.entry();
    from.report(load, now);
    spill_gates_[entry.service][region_of(entry.zone)].record(load);
}

void fleet_view::count_outcome(const std::string& service, bool failed)
{
    auto& share = failing_[service];
    share += failing_weight * ((failed ? 1.0 : 0.0) - share);
}

void fleet_view::note_outcome(
    steering::worker& by, bool failed, base::instant now)
{
    const auto& service = by.entry().service;
    count_outcome(service, failed);
    const double peers = failing_[service];
    log_new_doubt(
        by, peers, now, [&] { by.record_answer(failed, peers, now); });
}

void fleet_view::note_timeout(steering::worker& by, base::instant now)
{
    const auto& service = by.entry().service;
    count_outcome(service, true);
    const double peers = failing_[service];
    log_new_doubt(by, peers, now, [&] { by.record_timeout(peers, now); });
}

void fleet_view::note_unreachable(steering::worker& one, base::instant now)
{
    const double peers = failing_[one.entry().service];
    log_new_doubt(
        one, peers, now, [&] { one.eject(ejection_reason::unreachable, now); });
}

bool fleet_view::spend_retry(const std::string& service, base::instant now)
{
    return budgets_[service].spend(terms_.retry_budget, daemons(), now);
}

bool fleet_view::may_serve(
    const steering::worker& one,
    const placement_request& request,
    bool accept_failing,
    base::instant now) const
{
    const auto& entry = one.entry();
    if (entry.draining || evacuated_.contains(entry.zone))
    {
        return false;
    }
    if (std::ranges::find(request.tried, entry.id) != request.tried.end())
    {
        return false;
    }
    const auto doubt = one.ejection(now);
    if (accept_failing && doubt == ejection_reason::failing)
    {
        return true;
    }
    return doubt == ejection_reason::none && !one.probe_in_flight();
}

bool fleet_view::home_allows(
    const steering::route& route, std::string_view region) const
{
    const auto& homes = route.home_regions;
    return homes.empty() || std::ranges::find(homes, region) != homes.end();
}

std::vector<steering::worker_candidate> fleet_view::candidates(
    std::span<const worker_ptr* const> workers,
    const placement_request& request,
    bool accept_failing,
    base::instant now) const
{
    std::vector<steering::worker_candidate> out;
    out.reserve(workers.size());
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        const auto& one = **workers[i];
        if (may_serve(one, request, accept_failing, now))
        {
            out.push_back({i, one.entry().id, one.load(now), one.slots()});
        }
    }
    return out;
}

// A cold worker takes what its pace allows; a worker that failed takes one
// request that may be repeated, and the next after its answer.
bool fleet_view::take_limited(
    steering::worker& one, const placement_request& request, base::instant now)
{
    if (one.on_probation() && !request.route->idempotent)
    {
        return false;
    }
    if (one.cold(now))
    {
        const auto terms = configuration_.services.find(one.entry().service);
        const double rate = terms == configuration_.services.end()
                                ? 0.0
                                : terms->second.cold_requests_per_s;
        if (!cold_pace_.try_acquire(
                one.entry().id,
                rate,
                members.self().name,
                live_names_,
                members.settled(now),
                now))
        {
            return false;
        }
    }
    if (one.on_probation())
    {
        one.begin_probe();
    }
    return true;
}

// No route of the service has a higher rank.
bool fleet_view::urgent(const steering::route& route) const
{
    return std::ranges::all_of(
        route.parts,
        [&](const steering::split_part& part)
        {
            const auto found = highest_rank_.find(part.service);
            return found == highest_rank_.end() ||
                   route.priority <= found->second;
        });
}

// Takes the request to the worker if its region and its own limits allow it.
bool fleet_view::take(
    steering::worker& one,
    const placement_request& request,
    std::string_view region,
    const steering::region_plan& plan,
    base::instant now)
{
    const std::string name{region};
    region_pace_.seed_shares(plan.shares(), now);
    const bool paced = now - plan.replaced_at() > capacity_change_time;
    if (paced && !region_pace_.allows(name, terms_.region_step, now))
    {
        return false;
    }
    const bool limited = one.cold(now) || one.on_probation();
    if (limited && !take_limited(one, request, now))
    {
        return false;
    }
    region_pace_.count(name, terms_.region_step, now);
    one.request_sent();
    return true;
}

fleet_view::placement fleet_view::place_among(
    const placement_request& request,
    const steering::region_plan& plan,
    bool accept_failing,
    base::instant now)
{
    placement out;
    auto policy = terms_.choice;
    const std::string service{request.service};
    policy.max_utilization = limits_[service].value();
    const bool first_rank = urgent(*request.route);
    auto& gates = spill_gates_[service];
    const bool own_spill = gates[members.self().region].open();
    for (const auto region : plan.region_order(request.object))
    {
        if (!home_allows(*request.route, region))
        {
            continue;
        }
        // Few answers tell of a further region: the own workers' load counts
        // there too.
        const bool spill = own_spill && gates[std::string{region}].open();
        policy.idle_utilization = spill ? terms_.choice.idle_utilization : 0.0;
        const auto workers = workers_in(request.service, region);
        const auto open = candidates(workers, request, accept_failing, now);
        const auto ranked = steering::rank_workers(
            request.object, open, policy, first_rank, out.candidates);
        out.candidates += open.size();
        out.with_room += ranked.size();
        for (const auto& next : ranked)
        {
            const auto& one = *workers[next.index];
            if (take(*one, request, region, plan, now))
            {
                out.chosen = one;
                return out;
            }
        }
    }
    return out;
}

base::result<fleet_view::worker_ptr> fleet_view::place(
    const placement_request& request, base::instant now)
{
    const std::string service{request.service};
    auto& plan = plans_[service];
    if (plan.shares().empty())
    {
        plan.update(supplies(service, now), members.self().region, now);
    }
    auto found = place_among(request, plan, false, now);
    if (!found.chosen && found.candidates == 0)
    {
        found = place_among(request, plan, true, now);
    }
    if (found.chosen)
    {
        return found.chosen;
    }
    if (found.candidates == 0)
    {
        return fail(result_code::no_upstream, service);
    }
    return fail(
        result_code::no_room,
        fmt::format(
            "{}: {} workers, {} with room, full at {:.2f}",
            service,
            found.candidates,
            found.with_room,
            limits_[service].value()));
}

} // namespace waxwingvalve::front
