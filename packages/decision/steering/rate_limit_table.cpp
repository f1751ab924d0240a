#include "decision/steering/rate_limit_table.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvalve::decision::steering
{

std::chrono::milliseconds rate_limit_table::draw_forget_time()
{
    constexpr std::chrono::milliseconds least{forget_after};
    std::uniform_int_distribution<std::int64_t> extra{0, least.count()};
    return least + std::chrono::milliseconds{extra(random_)};
}

// Takes a statement that is known to be the newest on its worker.
rate_limit_change rate_limit_table::adopt(
    worker_digest worker, statement next, base::instant now)
{
    auto known = statements_.find(worker);
    if (known == statements_.end() && statements_.size() >= max_workers)
    {
        forget_oldest();
    }
    next.forget_after = draw_forget_time();
    next.known_since = now;
    next.published_at = now;
    next.rounds_left = gossip_rounds;
    if (known == statements_.end())
    {
        statements_.emplace(worker, next);
        return next.limited ? rate_limit_change::named
                            : rate_limit_change::none;
    }
    const auto previous = std::exchange(known->second, next);
    if (previous.limited != next.limited)
    {
        return next.limited ? rate_limit_change::named
                            : rate_limit_change::lifted;
    }
    known->second.known_since = previous.known_since;
    const bool rate_changed = previous.requests_per_s != next.requests_per_s;
    return next.limited && rate_changed ? rate_limit_change::named
                                        : rate_limit_change::none;
}

rate_limit_change rate_limit_table::record_named(
    worker_digest worker, double requests_per_s, base::instant now)
{
    const float rate =
        std::max(static_cast<float>(requests_per_s), min_requests_per_s);
    const auto known = statements_.find(worker);
    if (known != statements_.end() && known->second.limited &&
        known->second.requests_per_s == rate &&
        now - known->second.published_at < repeat_interval)
    {
        known->second.at = now;
        return rate_limit_change::none;
    }
    return adopt(
        worker,
        {.id = random_(), .limited = true, .requests_per_s = rate, .at = now},
        now);
}

rate_limit_change rate_limit_table::record_unnamed(
    worker_digest worker, base::instant sent_at, base::instant now)
{
    const auto known = statements_.find(worker);
    // Nothing is kept about workers that never named a limit.
    if (known == statements_.end() || sent_at < known->second.at)
    {
        return rate_limit_change::none;
    }
    if (!known->second.limited &&
        now - known->second.published_at < repeat_interval)
    {
        known->second.at = sent_at;
        return rate_limit_change::none;
    }
    return adopt(
        worker, {.id = random_(), .limited = false, .at = sent_at}, now);
}

std::optional<rate_limit> rate_limit_table::find(worker_digest worker) const
{
    const auto known = statements_.find(worker);
    if (known == statements_.end() || !known->second.limited)
    {
        return std::nullopt;
    }
    return rate_limit{known->second.requests_per_s, known->second.known_since};
}

std::map<rate_limit_table::worker_digest, rate_limit> rate_limit_table::limits()
    const
{
    std::map<worker_digest, rate_limit> found;
    for (const auto& [worker, known] : statements_)
    {
        if (known.limited)
        {
            found.emplace(
                worker, rate_limit{known.requests_per_s, known.known_since});
        }
    }
    return found;
}

bool rate_limit_table::newer(
    const statement& known, const statement& remote) const
{
    if (known.id == remote.id)
    {
        return false;
    }
    if (known.limited != remote.limited)
    {
        // In doubt the worker has a limit.
        const auto delay =
            remote.limited ? base::duration{} : max_message_delay;
        return remote.at - delay > known.at;
    }
    const bool same_rate = known.requests_per_s == remote.requests_per_s;
    return remote.at - known.at >
           (same_rate ? base::duration{repeat_interval} : base::duration{});
}

rate_limit_change rate_limit_table::receive(
    const schema::rate_limit_statement& news, base::instant now)
{
    const statement remote{
        .id = news.id,
        .limited = news.limited,
        .requests_per_s =
            news.limited ? std::max(news.requests_per_s, min_requests_per_s)
                         : 0.0F,
        .at = now - std::chrono::milliseconds{news.age_ms}};
    const auto known = statements_.find(news.worker);
    if (known != statements_.end() && !newer(known->second, remote))
    {
        return rate_limit_change::none;
    }
    // What this daemon read itself must not make way for what others say.
    const bool no_room =
        known == statements_.end() && statements_.size() >= max_workers;
    if (no_room || std::chrono::milliseconds{news.age_ms} > forget_after)
    {
        return rate_limit_change::none;
    }
    return adopt(news.worker, remote, now);
}

void rate_limit_table::forget_old(base::instant now)
{
    std::erase_if(
        statements_,
        [&](const auto& item)
        { return now - item.second.at > item.second.forget_after; });
}

void rate_limit_table::forget_oldest()
{
    statements_.erase(std::ranges::min_element(
        statements_, {}, [](const auto& item) { return item.second.at; }));
}

std::vector<schema::rate_limit_statement> rate_limit_table::next_round(
    base::instant now)
{
    forget_old(now);
    std::vector<std::pair<worker_digest, statement*>> pending;
    for (auto& [worker, known] : statements_)
    {
        if (known.rounds_left > 0)
        {
            pending.emplace_back(worker, &known);
        }
    }
    // The newest first; the others stay for later rounds.
    std::ranges::stable_sort(
        pending,
        std::ranges::greater{},
        [](const auto& item) { return item.second->rounds_left; });
    pending.resize(std::min(pending.size(), max_statements_per_message));
    std::vector<schema::rate_limit_statement> news;
    for (const auto& [worker, known] : pending)
    {
        --known->rounds_left;
        const auto age_ms = base::to_milliseconds(now - known->at);
        news.push_back(
            {.id = known->id,
             .worker = worker,
             .age_ms =
                 static_cast<std::uint32_t>(std::max<std::int64_t>(age_ms, 0)),
             .requests_per_s = known->requests_per_s,
             .limited = known->limited});
    }
    return news;
}

} // namespace waxwingvalve::decision::steering
