#include "decision/steering/crash_gossip.hpp"

#include <algorithm>

namespace waxwingvalve::decision::steering
{

void crash_gossip::publish(std::uint64_t digest)
{
    const crash_event event{.id = random_(), .digest = digest};
    remember(event.id);
    pending_.push_back({event, gossip_rounds});
}

bool crash_gossip::receive(const crash_event& event)
{
    if (seen_.contains(event.id))
    {
        return false;
    }
    remember(event.id);
    pending_.push_back({event, gossip_rounds});
    return true;
}

std::vector<crash_event> crash_gossip::next_round()
{
    std::vector<crash_event> events;
    const auto count = std::min(pending_.size(), max_events_per_message);
    for (std::size_t i = 0; i < count; ++i)
    {
        events.push_back(pending_[i].event);
        --pending_[i].rounds_left;
    }
    std::erase_if(
        pending_,
        [](const pending_event& item) { return item.rounds_left <= 0; });
    return events;
}

void crash_gossip::remember(std::uint64_t id)
{
    seen_.insert(id);
    seen_order_.push_back(id);
    if (seen_order_.size() > max_seen_events)
    {
        seen_.erase(seen_order_.front());
        seen_order_.pop_front();
    }
}

} // namespace waxwingvalve::decision::steering
