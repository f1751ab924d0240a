// The request rates that workers have named as their limits: what is known of
// them, this daemon's part, and when refused callers may return.
#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "base/log.hpp"
#include "front/fleet_view.hpp"

namespace waxwingvalve::front
{

using steering::rate_limit_change;

bool fleet_view::usable(const steering::worker& worker) const
{
    const auto& entry = worker.entry();
    return !entry.draining && !evacuated_zones_.contains(entry.zone);
}

fleet_view::worker_ptr fleet_view::find_incarnation(std::uint64_t digest) const
{
    const auto& workers = workers_.all();
    const auto known = std::ranges::find_if(
        workers,
        [digest](const auto& item)
        { return item.second->incarnation() == digest; });
    return known == workers.end() ? nullptr : known->second;
}

steering::sender_view fleet_view::senders(base::instant now) const
{
    const auto& self = members.self();
    return {
        .self = self.name,
        .daemons = known_daemons_,
        .may_send = members.settled(now) && !self.leaving,
        .others_expected = members.others_expected()};
}

void fleet_view::pace_worker(
    const steering::worker& worker, bool just_sent, base::instant now)
{
    const auto limit = rate_limits_.find(worker.incarnation());
    if (!limit)
    {
        rate_limit_pacer_.remove(worker.incarnation());
        return;
    }
    const double share = steering::rate_limit_pacer::share_of(
        worker.entry().id,
        region_of(worker.entry().zone),
        limit->requests_per_s,
        senders(now));
    rate_limit_pacer_.set_rate(
        worker.incarnation(), share * limit->requests_per_s, just_sent, now);
}

// The draw of senders hashes all daemons for each worker, so it is repeated
// only after a change.
std::uint64_t fleet_view::digest_of_pace_input(base::instant now) const
{
    using pacer = steering::rate_limit_pacer;
    std::string input = fmt::format(
        "{}{}{}",
        members.settled(now),
        members.self().leaving,
        workers_.all().size());
    for (const auto& one : known_daemons_)
    {
        input += fmt::format(
            "{}{}{}",
            one.name,
            one.silence > pacer::heard_silence,
            one.silence > pacer::takeover_silence);
    }
    for (const auto& [worker, limit] : rate_limits_.limits())
    {
        input += fmt::format("{}", worker);
    }
    return XXH3_64bits(input.data(), input.size());
}

void fleet_view::pace_workers(base::instant now)
{
    const auto limits = rate_limits_.limits();
    rate_limit_pacer_.remove_others(limits);
    if (limits.empty())
    {
        return;
    }
    const auto digest = digest_of_pace_input(now);
    if (std::exchange(pace_digest_, digest) == digest)
    {
        return;
    }
    for (const auto& [id, worker] : workers_.all())
    {
        pace_worker(*worker, false, now);
    }
}

void fleet_view::log_rate_limit(
    std::uint64_t worker,
    rate_limit_change change,
    std::string_view told_by) const
{
    if (change == rate_limit_change::none)
    {
        return;
    }
    const auto known = find_incarnation(worker);
    const auto limit = rate_limits_.find(worker);
    base::log_event(
        base::log_level::info,
        base::log_channel::routing,
        limit ? "worker_rate_limited" : "worker_rate_limit_lifted",
        "worker",
        known == nullptr ? std::string{} : known->entry().id,
        "incarnation_digest",
        worker,
        "requests_per_s",
        limit ? limit->requests_per_s : 0.0,
        "told_by",
        told_by);
}

void fleet_view::record_rate_limit(
    const steering::worker& worker,
    std::uint64_t incarnation_digest,
    const rate_limit_field& said,
    base::instant sent_at,
    base::instant now)
{
    // Another incarnation may have got its id and address meanwhile.
    if (worker.incarnation() != incarnation_digest)
    {
        return;
    }
    auto change = rate_limit_change::none;
    if (said.requests_per_s)
    {
        change = rate_limits_.record_named(
            incarnation_digest, *said.requests_per_s, now);
    }
    else if (!said.present)
    {
        change = rate_limits_.record_unnamed(incarnation_digest, sent_at, now);
    }
    if (change != rate_limit_change::none)
    {
        pace_worker(worker, true, now);
    }
    log_rate_limit(incarnation_digest, change, "answer");
}

void fleet_view::record_rate_limit(
    const schema::rate_limit_statement& said,
    std::string_view told_by,
    base::instant now)
{
    const auto change = rate_limits_.receive(said, now);
    if (change == rate_limit_change::none)
    {
        return;
    }
    if (const auto known = find_incarnation(said.worker))
    {
        pace_worker(*known, false, now);
    }
    log_rate_limit(said.worker, change, told_by);
}

fleet_view::rate_limited_workers fleet_view::rate_limited(
    std::string_view service) const
{
    rate_limited_workers found;
    for (const auto& [zone, workers] : workers_.of_service(service))
    {
        for (const auto& worker : workers)
        {
            const auto limit = rate_limits_.find(worker->incarnation());
            if (limit && usable(*worker))
            {
                ++found.count;
                found.requests_per_s += limit->requests_per_s;
            }
        }
    }
    return found;
}

base::duration fleet_view::return_after(
    std::string_view service, base::instant now)
{
    std::optional<base::duration> shortest;
    for (const auto& [zone, workers] : workers_.of_service(service))
    {
        for (const auto& worker : workers)
        {
            if (!usable(*worker) || rate_limits_.find(worker->incarnation()))
            {
                continue;
            }
            const auto left = worker->backoff().left(now);
            shortest = std::min(shortest.value_or(left), left);
        }
    }
    if (shortest == base::duration{})
    {
        return {};
    }
    const auto limited = rate_limited(service);
    if (limited.count > 0)
    {
        const auto daemons = std::max<std::size_t>(known_daemons_.size(), 1);
        const auto turn = state_of(service).return_schedule.next(
            limited.requests_per_s / static_cast<double>(daemons), now);
        shortest = std::min(shortest.value_or(turn), turn);
    }
    return shortest.value_or(base::duration{});
}

} // namespace waxwingvalve::front
