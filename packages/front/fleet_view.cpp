// State of the fleet: configuration, workers, members and what is observed of
// them. fleet_placement.cpp chooses a worker by it.
#include "front/fleet_view.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "base/log.hpp"

namespace waxwingvalve::front
{

using steering::contact_loss;
using steering::ejection_reason;

namespace
{

// Time constant of the moving average of the published request rate.
constexpr std::chrono::duration<double> rate_time_constant{3.0};
// Requests per second added to the reported demand of every zone, so that
// capacity can be divided also in a fleet without traffic.
constexpr double base_demand = 1.0;
// Weight of the newest outcome in the moving average of failures.
constexpr double failure_weight = 0.02;

std::string_view name_of(ejection_reason reason)
{
    switch (reason)
    {
    case ejection_reason::none:
        return "none";
    case ejection_reason::refused:
        return "refused";
    case ejection_reason::silent:
        return "silent";
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
        "worker_ejected",
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
      region_of_zone_{std::move(region_of_zone)},
      account_secret_{decision::accounts::draw_secret()},
      split_picker_{seed + 2}, cold_worker_limiter_{seed + 5},
      rate_limits_{seed + 3}, rate_limit_pacer_(seed + 4)
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
    accounts_ = {configuration_.accounts, account_secret_};
    quotas_.clear();
    for (const auto& account : configuration_.accounts)
    {
        const decision::quotas::quota_limit limit{
            account.requests_per_s, account.burst};
        if (limit.limited())
        {
            quotas_[decision::quotas::digest_of_account(account.name)] = limit;
        }
    }
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

std::optional<decision::quotas::quota_limit> fleet_view::quota_of(
    decision::quotas::account_digest account) const
{
    const auto found = quotas_.find(account);
    return found == quotas_.end() ? std::nullopt : std::optional{found->second};
}

bool fleet_view::remove_worker(const std::string& id, base::instant now)
{
    cold_worker_limiter_.remove_idle(now - std::chrono::minutes{1});
    return workers_.remove(id);
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
    known_daemons_ = members.known(now);
    pace_workers(now);
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

bool fleet_view::may_leave_out(
    const steering::worker& worker, base::instant now) const
{
    std::size_t all = 0;
    std::size_t others = 0;
    for (const auto& [zone, workers] :
         workers_.of_service(worker.entry().service))
    {
        for (const auto& one : workers)
        {
            ++all;
            const bool asked = !one->backoff().active(now);
            others += one.get() != &worker && asked ? 1 : 0;
        }
    }
    return 2 * others >= all;
}

void fleet_view::record_outcome(
    steering::worker& worker,
    std::uint64_t incarnation_digest,
    bool failed,
    base::instant now)
{
    auto& peer_failure_share = state_of(worker.entry().service).failure_share;
    update_failure_share(peer_failure_share, failed);
    if (worker.incarnation() != incarnation_digest)
    {
        return;
    }
    log_ejection(
        worker,
        peer_failure_share,
        now,
        [&] { worker.record_answer(failed, peer_failure_share, now); });
}

void fleet_view::record_timeout(
    steering::worker& worker,
    std::uint64_t incarnation_digest,
    base::instant now)
{
    auto& peer_failure_share = state_of(worker.entry().service).failure_share;
    update_failure_share(peer_failure_share, true);
    if (worker.incarnation() != incarnation_digest)
    {
        return;
    }
    log_ejection(
        worker,
        peer_failure_share,
        now,
        [&] { worker.record_timeout(peer_failure_share, now); });
}

void fleet_view::record_unreachable(
    steering::worker& worker,
    std::uint64_t incarnation_digest,
    base::instant now)
{
    if (worker.incarnation() != incarnation_digest)
    {
        return;
    }
    log_ejection(
        worker,
        state_of(worker.entry().service).failure_share,
        now,
        [&] { worker.eject(ejection_reason::unreachable, now); });
}

void fleet_view::record_lost_contact(
    steering::worker& worker,
    std::uint64_t incarnation_digest,
    const steering::lost_contact& lost,
    base::instant now)
{
    if (worker.incarnation() != incarnation_digest)
    {
        return;
    }
    if (lost.how == contact_loss::reset)
    {
        record_reset(worker, now);
        return;
    }
    const bool refused = lost.how == contact_loss::refused;
    log_ejection(
        worker,
        state_of(worker.entry().service).failure_share,
        now,
        [&]
        {
            worker.eject(
                refused ? ejection_reason::refused : ejection_reason::silent,
                now);
        });
    // Silence may be this daemon's own: of its path, or of this connection.
    const bool of_worker =
        heard_at_ > lost.since && !worker.lived_through(lost.since);
    if (refused || of_worker)
    {
        record_ended(worker, lost, now);
    }
}

void fleet_view::record_contact(
    steering::worker& worker,
    std::uint64_t incarnation_digest,
    const steering::contact_proof& proof,
    base::instant now)
{
    note_heard(now);
    if (worker.incarnation() == incarnation_digest)
    {
        worker.answered(proof);
    }
}

bool fleet_view::spend_retry(const std::string& service, base::instant now)
{
    return state_of(service).retry_budget.spend(
        options_.retry_budget, daemon_count(), now);
}

} // namespace waxwingvalve::front
