#include "front/worker_health.hpp"

#include <utility>
#include <vector>

#include <fmt/format.h>

#include "decision/steering/health_askers.hpp"
#include "front/request_fields.hpp"
#include "front/worker_state.hpp"

namespace waxwingvalve::front
{

using steering::cold_source;

namespace
{

// Nothing in the body of a health answer is read.
constexpr std::uint64_t max_health_body_bytes = 64ULL * 1024;

} // namespace

worker_health::worker_health(
    serving_context& context, peer_heartbeats& heartbeats)
    : context_{context}, heartbeats_{heartbeats},
      pool_{context.loop, context.memory}, timer_{context.loop}
{
}

void worker_health::start()
{
    context_.view.on_cold_news([this] { wake(); });
    schedule(check_interval);
}

void worker_health::wake()
{
    const auto now = base::monotonic_clock::now();
    if (context_.view.discovery_current(now))
    {
        chosen_at_ =
            std::min(chosen_at_, now - choice_lifetime + min_choice_interval);
    }
    if (next_step_ > now + step_interval)
    {
        schedule(step_interval);
    }
}

void worker_health::schedule(std::chrono::milliseconds wait)
{
    next_step_ = base::monotonic_clock::now() + wait;
    timer_.expires_after(wait);
    timer_.async_wait(
        [this](const boost::system::error_code& cancelled)
        {
            if (cancelled)
            {
                return;
            }
            schedule(step());
        });
}

std::chrono::milliseconds worker_health::step()
{
    const auto now = base::monotonic_clock::now();
    const auto doubted = context_.view.workers_in_doubt(now);
    const bool ask = !context_.view.discovery_current(now) || !doubted.empty();
    if (ask)
    {
        ++step_;
        choose_workers(doubted, now);
        for (auto& [id, asked] : workers_)
        {
            check(asked, now);
        }
        pool_.close_expired(now);
    }
    else
    {
        stop_asking();
    }
    const auto news = context_.view.cold_news.take(now);
    if (!news.empty())
    {
        heartbeats_.tell_cold_workers(news);
    }
    return ask ? step_interval : check_interval;
}

// All workers if discovery doesn't tell, otherwise those in doubt.
std::vector<fleet_view::worker_ptr> worker_health::workers_to_ask(
    std::vector<fleet_view::worker_ptr> doubted, base::instant now) const
{
    const auto& view = context_.view;
    if (view.discovery_current(now))
    {
        return doubted;
    }
    std::vector<fleet_view::worker_ptr> all;
    for (const auto& [id, worker] : view.workers().all())
    {
        if (view.may_be_cold(*worker))
        {
            all.push_back(worker);
        }
    }
    return all;
}

void worker_health::choose_workers(
    std::vector<fleet_view::worker_ptr> doubted, base::instant now)
{
    if (now - chosen_at_ < choice_lifetime)
    {
        return;
    }
    chosen_at_ = now;
    const auto& view = context_.view;
    const auto eligible = workers_to_ask(std::move(doubted), now);
    std::vector<std::string> regions;
    regions.reserve(eligible.size());
    for (const auto& worker : eligible)
    {
        regions.push_back(view.region_of(worker->entry().zone));
    }
    std::vector<steering::worker_place> places;
    for (std::size_t i = 0; i < eligible.size(); ++i)
    {
        const auto& entry = eligible[i]->entry();
        places.push_back(
            {.id = entry.id, .zone = entry.zone, .region = regions[i]});
    }
    auto chosen = steering::choose_asked_workers(
        places,
        view.members.self(),
        view.members.live(now),
        {.daemons = view.members.peak_live_count(),
         .workers = view.workers().all().size()});
    // The daemons near a worker may be those that can't reach it. What this
    // daemon met, others may not know: it asks once its ejection is over, if
    // nobody has told meanwhile.
    for (std::size_t i = 0; i < eligible.size(); ++i)
    {
        const auto& worker = *eligible[i];
        const bool lost_here =
            is_lost_contact(worker.known_cold_time().source) &&
            worker.ejection(now) == steering::ejection_reason::none;
        const bool may_reach = worker.reached_lately(now) || lost_here;
        if (worker.in_doubt(now) && may_reach)
        {
            chosen.push_back(i);
        }
    }
    auto before = std::exchange(workers_, {});
    for (const auto i : chosen)
    {
        keep_asking(eligible[i], before);
    }
    for (auto& [id, asked] : before)
    {
        abandon_check(asked);
    }
}

// Goes on with the worker as before, if it was asked.
void worker_health::keep_asking(
    const fleet_view::worker_ptr& worker, asked_workers& before)
{
    const auto& id = worker->entry().id;
    const auto known = before.find(id);
    if (known == before.end() || known->second.worker != worker)
    {
        workers_.emplace(id, asked_worker{worker});
        return;
    }
    workers_.insert(before.extract(known));
}

void worker_health::check(asked_worker& asked, base::instant now)
{
    if (asked.connection && now - asked.sent_at >= check_timeout)
    {
        abandon_check(asked);
    }
    if (asked.connection)
    {
        assume_cold(asked, now);
        return;
    }
    const auto& services = context_.view.configuration().services;
    const auto service = services.find(asked.worker->entry().service);
    const bool due = asked.worker->incarnation() % steps_per_interval ==
                     step_ % steps_per_interval;
    if (due && service != services.end())
    {
        send_check(asked, service->second.health_path, now);
    }
}

void worker_health::send_check(
    asked_worker& asked, const std::string& health_path, base::instant now)
{
    ++context_.counts.health_checks;
    const auto& entry = asked.worker->entry();
    asked.connection = pool_.acquire(entry.id, entry.address, false, now);
    asked.incarnation = asked.worker->incarnation();
    asked.sent_at = now;
    // The handler may run at once and end the check.
    const auto connection = asked.connection;
    connection->exchange(
        {.head = fmt::format(
             "GET {} HTTP/1.1\r\nHost: {}\r\n\r\n",
             health_path,
             to_string(entry.address)),
         .body = std::make_shared<const std::string>(),
         .max_answer_bytes = max_health_body_bytes,
         .deadline = now + check_timeout},
        [this, id = entry.id](const exchange_outcome& outcome)
        { end_check(id, outcome); });
}

void worker_health::end_check(
    const std::string& id, const exchange_outcome& outcome)
{
    auto& asked = workers_.at(id);
    const auto connection = std::exchange(asked.connection, nullptr);
    const auto now = base::monotonic_clock::now();
    const bool silent_or_refused = outcome.lost == contact_loss::refused ||
                                   outcome.lost == contact_loss::silent;
    if (silent_or_refused)
    {
        context_.view.record_lost_contact(
            *asked.worker,
            asked.incarnation,
            {outcome.lost, asked.sent_at},
            now);
    }
    if (outcome.status != exchange_status::answered)
    {
        return;
    }
    const auto& fields = outcome.answer.fields;
    if (header_value(fields, context_.fields.worker_id) != id)
    {
        // A full worker refuses a check without its id. Otherwise the address
        // is another worker's, or these bytes answer something else.
        if (!net::find_field(fields, context_.fields.not_executed))
        {
            connection->abandon();
        }
        return;
    }
    ++context_.counts.health_answers;
    asked.answered = asked.sent_at;
    context_.view.record_contact(
        *asked.worker,
        asked.incarnation,
        {.connected_at = outcome.connected_at, .sent_at = asked.sent_at},
        now);
    record_answer(asked, fields);
}

void worker_health::record_answer(
    const asked_worker& asked, std::span<const net::header_field> fields)
{
    const auto now = base::monotonic_clock::now();
    const bool was_in_doubt = asked.worker->in_doubt(now);
    if (asked.worker->incarnation() != asked.incarnation)
    {
        return;
    }
    record_worker_state(
        context_,
        *asked.worker,
        {.incarnation = asked.incarnation,
         .fields = fields,
         .sent_at = asked.sent_at},
        now);
    if (!net::find_field(fields, context_.fields.cold_remaining))
    {
        // A health answer that names no cold time says that there is none.
        context_.view.record_cold_time(
            *asked.worker,
            {cold_source::answer, asked.sent_at, asked.sent_at},
            now);
    }
    const auto& known = asked.worker->known_cold_time();
    if (known.source == cold_source::answer && asked.worker->cold(now))
    {
        context_.view.cold_news.record(asked.incarnation, known);
    }
    else if (was_in_doubt && !asked.worker->cold(now))
    {
        context_.view.cold_news.record_warm(asked.incarnation, known);
    }
}

void worker_health::assume_cold(const asked_worker& asked, base::instant now)
{
    const auto& worker = *asked.worker;
    const auto zone_cold_since =
        context_.view.zone_cold_since(worker.entry().zone, now);
    const bool unknown = zone_cold_since && asked.answered < *zone_cold_since;
    if (!unknown || now - asked.sent_at < answer_limit ||
        worker.incarnation() != asked.incarnation)
    {
        return;
    }
    const steering::cold_statement said{
        .source = cold_source::assumed,
        .since = asked.sent_at,
        .until = now + assumed_cold_time};
    context_.view.record_cold_time(*asked.worker, said, now);
    context_.view.cold_news.record(asked.incarnation, said);
}

void worker_health::abandon_check(asked_worker& asked)
{
    if (asked.connection)
    {
        asked.connection->abandon();
        asked.connection = nullptr;
    }
}

void worker_health::stop_asking()
{
    for (auto& [id, asked] : workers_)
    {
        abandon_check(asked);
        pool_.close_worker_connections(id);
    }
    workers_.clear();
    chosen_at_ = {};
}

} // namespace waxwingvalve::front
