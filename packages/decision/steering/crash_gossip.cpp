#include "decision/steering/crash_gossip.hpp"

#include <algorithm>
#include <limits>

namespace waxwingvalve::decision::steering
{

namespace
{

std::uint32_t age_ms(base::instant event, base::instant now)
{
    constexpr std::int64_t oldest = std::numeric_limits<std::uint32_t>::max();
    const auto age = base::to_milliseconds(now - event);
    return static_cast<std::uint32_t>(std::clamp(age, std::int64_t{0}, oldest));
}

base::instant time_of(std::uint32_t age, base::instant now)
{
    return now - std::chrono::milliseconds{age};
}

schema::crash_event to_wire(const worker_crash& crash, base::instant now)
{
    return {
        .id = crash.id,
        .digest = crash.digest,
        .worker = crash.worker,
        .sent_age_ms = age_ms(crash.sent_at, now),
        .ended_age_ms = age_ms(crash.ended_at, now)};
}

schema::answer_event to_wire(const suspect_answer& answer, base::instant now)
{
    return {
        .id = answer.id,
        .digest = answer.digest,
        .age_ms = age_ms(answer.answered_at, now)};
}

// Encodes the first events and drops those that were sent often enough.
template <typename Wire, typename Pending>
std::vector<Wire> take_round(std::vector<Pending>& pending, base::instant now)
{
    std::vector<Wire> events;
    const auto count =
        std::min(pending.size(), crash_gossip::max_events_per_message);
    for (std::size_t i = 0; i < count; ++i)
    {
        events.push_back(to_wire(pending[i].event, now));
        --pending[i].rounds_left;
    }
    std::erase_if(
        pending, [](const Pending& item) { return item.rounds_left <= 0; });
    return events;
}

} // namespace

void crash_gossip::publish(const worker_crash& crash)
{
    if (remember(crash.id))
    {
        crashes_.push_back({crash, gossip_rounds});
    }
}

void crash_gossip::publish(const suspect_answer& answer)
{
    if (remember(answer.id))
    {
        answers_.push_back({answer, gossip_rounds});
    }
}

std::optional<worker_crash> crash_gossip::receive(
    const schema::crash_event& event, base::instant now)
{
    if (!remember(event.id))
    {
        return std::nullopt;
    }
    worker_crash crash{
        .id = event.id,
        .digest = event.digest,
        .worker = event.worker,
        .sent_at = time_of(event.sent_age_ms, now),
        .ended_at = time_of(event.ended_age_ms, now)};
    crashes_.push_back({crash, gossip_rounds});
    crash.sent_at -= max_message_delay;
    return crash;
}

std::optional<suspect_answer> crash_gossip::receive(
    const schema::answer_event& event, base::instant now)
{
    if (!remember(event.id))
    {
        return std::nullopt;
    }
    const suspect_answer answer{
        .id = event.id,
        .digest = event.digest,
        .answered_at = time_of(event.age_ms, now)};
    answers_.push_back({answer, gossip_rounds});
    return answer;
}

crash_news crash_gossip::next_round(base::instant now)
{
    return {
        .crashes = take_round<schema::crash_event>(crashes_, now),
        .answers = take_round<schema::answer_event>(answers_, now)};
}

bool crash_gossip::remember(std::uint64_t id)
{
    if (!seen_.insert(id).second)
    {
        return false;
    }
    seen_order_.push_back(id);
    if (seen_order_.size() > max_seen_events)
    {
        seen_.erase(seen_order_.front());
        seen_order_.pop_front();
    }
    return true;
}

} // namespace waxwingvalve::decision::steering
