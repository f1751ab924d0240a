// Which workers are cold: what entries, answers and evacuations tell.
#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.hpp"
#include "front/fleet_view.hpp"

namespace waxwingvalve::front
{

using steering::cold_source;

namespace
{

// Cold time of a worker in an evacuated zone, longer than any evacuation.
constexpr std::chrono::hours evacuated_cold_time{1};
// A worker that has ended is assumed to be cold for this long beyond its cold
// time: it may start later, and is refused again until then.
constexpr base::duration restart_margin{std::chrono::seconds{1}};
// The others aren't told of an end that another daemon told less than this ago.
constexpr base::duration same_end{std::chrono::milliseconds{500}};

// Logs that a worker is cold, or no longer, if that is new.
void log_cold_time(
    const steering::worker& worker, bool was_cold, base::instant now)
{
    if (worker.cold(now) == was_cold)
    {
        return;
    }
    const auto& known = worker.known_cold_time();
    // An entry of unknown age is as old as the clock.
    const auto age = now - known.since;
    const auto left = worker.cold(now) ? known.until - now : base::duration{};
    base::log_event(
        base::log_level::info,
        base::log_channel::routing,
        was_cold ? "worker_cold_ended" : "worker_cold",
        "worker",
        worker.entry().id,
        "source",
        name_of(known.source),
        "age_ms",
        base::to_milliseconds(age),
        "left_ms",
        base::to_milliseconds(left));
}

} // namespace

void fleet_view::record_cold_time(
    steering::worker& worker,
    const steering::cold_statement& said,
    base::instant now)
{
    const bool was_cold = worker.cold(now);
    worker.set_cold_time(said, now);
    const bool said_by_worker =
        said.source == cold_source::answer || said.source == cold_source::peer;
    if (said_by_worker)
    {
        worker.listens_again(said.since, now);
        cold_news.drop_assumption(worker.incarnation(), said.since);
    }
    if (said_by_worker && worker.cold(now))
    {
        cold_zones_.record(worker.entry().zone, said.until, now);
    }
    note_doubt(worker, now);
    log_cold_time(worker, was_cold, now);
}

void fleet_view::note_doubt(const steering::worker& worker, base::instant now)
{
    if (worker.in_doubt(now) && doubted_.insert(worker.entry().id).second)
    {
        cold_news_handler_();
    }
}

std::vector<fleet_view::worker_ptr> fleet_view::workers_in_doubt(
    base::instant now)
{
    std::vector<worker_ptr> found;
    std::erase_if(
        doubted_,
        [&](const std::string& id)
        {
            const auto worker = workers_.find(id);
            const bool doubted =
                worker && worker->in_doubt(now) && may_be_cold(*worker);
            if (doubted)
            {
                found.push_back(worker);
            }
            return !doubted;
        });
    return found;
}

void fleet_view::record_ended(
    steering::worker& worker,
    const steering::lost_contact& lost,
    base::instant now)
{
    if (!may_be_cold(worker))
    {
        return;
    }
    const bool refused = lost.how == steering::contact_loss::refused;
    const steering::cold_statement said{
        .source = refused ? cold_source::refused : cold_source::silent,
        .since = refused ? now : lost.since,
        .until = now + assumed_cold_time(worker)};
    const bool told_by_peer =
        worker.in_doubt(now) && now - worker.end_told_at() < same_end;
    record_cold_time(worker, said, now);
    // Something newer is known of it.
    if (worker.known_cold_time().since > said.since)
    {
        return;
    }
    if (!told_by_peer && !worker.lost_to_this_daemon_alone(lost.how, now))
    {
        cold_news.record(worker.incarnation(), said);
        cold_news_handler_();
    }
}

void fleet_view::record_reset(steering::worker& worker, base::instant now)
{
    // A cold worker is spared already.
    if (!may_be_cold(worker) || worker.cold(now))
    {
        return;
    }
    record_cold_time(
        worker,
        {.source = cold_source::reset,
         .since = now,
         .until = now + assumed_cold_time(worker)},
        now);
}

base::duration fleet_view::assumed_cold_time(
    const steering::worker& worker) const
{
    return configuration_.services.at(worker.entry().service).cold_time +
           restart_margin;
}

bool fleet_view::may_be_cold(const steering::worker& worker) const
{
    const auto service = configuration_.services.find(worker.entry().service);
    return usable(worker) && service != configuration_.services.end() &&
           service->second.cold_requests_per_s > 0 &&
           !service->second.health_path.empty();
}

bool fleet_view::acquire_cold(const steering::worker& worker, base::instant now)
{
    const auto& entry = worker.entry();
    const auto service = configuration_.services.find(entry.service);
    if (service == configuration_.services.end())
    {
        return false;
    }
    const auto region = region_of(entry.zone);
    return cold_worker_limiter_.try_acquire(
        {.worker_id = entry.id,
         .worker_region = region,
         .incarnation = worker.incarnation(),
         .requests_per_s = service->second.cold_requests_per_s,
         .cold_since = worker.cold_known_since(),
         .was_loaded = worker.became_cold()},
        senders(now),
        now);
}

void fleet_view::record_cold_worker(
    const schema::cold_worker& said, base::instant now)
{
    const auto worker = find_incarnation(said.worker);
    if (!worker || !may_be_cold(*worker))
    {
        return;
    }
    const auto since = now - std::chrono::milliseconds{said.age_ms};
    if (said.assumed)
    {
        // The path of the daemon that tells is cut.
        if (worker->lived_through(since))
        {
            return;
        }
        worker->end_told(now);
    }
    // Limited, since a malformed message may name any time.
    const auto left = std::min<base::duration>(
        assumed_cold_time(*worker), std::chrono::milliseconds{said.left_ms});
    record_cold_time(
        *worker,
        {.source = said.assumed ? cold_source::assumed : cold_source::peer,
         .since = since,
         .until = now + left},
        now);
}

steering::entry_change fleet_view::put_worker(
    steering::worker_entry entry, base::instant now)
{
    const auto id = entry.id;
    const auto known = workers_.find(id);
    const bool was_cold = known && known->cold(now);
    const auto change = workers_.put(std::move(entry), now);
    log_cold_time(*workers_.find(id), was_cold, now);
    return change;
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
            record_cold_time(
                *worker,
                {cold_source::evacuation, now, now + evacuated_cold_time},
                now);
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
            record_cold_time(
                *worker,
                {cold_source::evacuation, now, now + service->second.cold_time},
                now);
        }
    }
}

} // namespace waxwingvalve::front
