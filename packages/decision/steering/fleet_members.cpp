#include "decision/steering/fleet_members.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <xxhash.h>

namespace waxwingvalve::decision::steering
{
std::uint64_t fleet_members::key_of(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

bool fleet_members::is_live(const entry& one, base::instant now) const
{
    return now - one.heartbeat_at <= liveness_timeout;
}

fleet_beat fleet_members::make_beat(base::instant now) const
{
    fleet_beat beat{.sender = self_};
    for (const auto& [key, other] : others_)
    {
        if (is_live(other, now))
        {
            beat.counts.push_back(
                {key,
                 other.member.incarnation,
                 other.member.heartbeat,
                 other.member.requests_per_s,
                 other.member.leaving});
        }
    }
    return beat;
}

// Selects random daemons of the own zone, and this daemon's part of the
// messages that its zone sends to other zones.
std::vector<base::endpoint> fleet_members::choose_receivers(base::instant now)
{
    std::vector<base::endpoint> same_zone_receivers;
    std::vector<base::endpoint> cross_zone_receivers;
    double zone_size = 1;
    for (const auto& [key, other] : others_)
    {
        const bool same_zone = other.member.zone == self_.zone;
        (same_zone ? same_zone_receivers : cross_zone_receivers)
            .push_back(other.member.peer_address);
        zone_size += same_zone && is_live(other, now) ? 1 : 0;
    }
    std::ranges::shuffle(same_zone_receivers, random_);
    std::ranges::shuffle(cross_zone_receivers, random_);
    same_zone_receivers.resize(
        std::min(same_zone_receivers.size(), same_zone_fanout));
    std::uniform_real_distribution<double> uniform{0.0, 1.0};
    const auto cross_zone_count = static_cast<std::size_t>(
        cross_zone_messages_per_round / zone_size + uniform(random_));
    cross_zone_receivers.resize(
        std::min(cross_zone_receivers.size(), cross_zone_count));
    same_zone_receivers.insert(
        same_zone_receivers.end(),
        cross_zone_receivers.begin(),
        cross_zone_receivers.end());
    return same_zone_receivers;
}

std::vector<fleet_members::message> fleet_members::next_round(base::instant now)
{
    if (started_at_ == base::instant{})
    {
        started_at_ = now;
    }
    ++self_.heartbeat;
    std::erase_if(
        others_,
        [&](const auto& item)
        { return now - item.second.heartbeat_at > removal_timeout; });

    auto receivers = choose_receivers(now);
    const bool send_to_seed = self_.heartbeat <= discovery_rounds ||
                              self_.heartbeat % rounds_per_seed_message == 1 ||
                              receivers.empty();
    if (!seeds_.empty() && send_to_seed)
    {
        std::uniform_int_distribution<std::size_t> pick{0, seeds_.size() - 1};
        receivers.push_back(seeds_[pick(random_)]);
    }
    const auto beat = make_beat(now);
    std::vector<message> messages;
    for (auto& receiver : receivers)
    {
        if (receiver != self_.peer_address)
        {
            messages.push_back({std::move(receiver), beat});
        }
    }
    return messages;
}

fleet_members::receive_result fleet_members::receive(
    const fleet_beat& beat, base::instant now)
{
    receive_result result;
    const auto sender = others_.find(key_of(beat.sender.name));
    const bool is_new =
        beat.sender.name != self_.name &&
        (sender == others_.end() ||
         sender->second.member.incarnation < beat.sender.incarnation);
    merge_member(beat.sender, now, result);
    if (is_new || lacks_members(beat, now))
    {
        // Answers a new daemon at once, since it may take several rounds until
        // a daemon selects it as receiver.
        result.replies.push_back({beat.sender.peer_address, make_beat(now)});
    }
    for (const auto& member : beat.members)
    {
        merge_member(member, now, result);
    }
    merge_counts(beat, now, result);
    answer_unknown(beat, result);
    peak_live_count_ = std::max(peak_live_count_, live(now).size());
    return result;
}

// Whether the sender, which has started shortly before, doesn't know all. Most
// of those that it knows started with it and know as little.
bool fleet_members::lacks_members(
    const fleet_beat& beat, base::instant now) const
{
    const bool message_of_round = beat.unknown.empty() &&
                                  beat.members.empty() &&
                                  beat.cold_workers.empty();
    if (beat.sender.heartbeat > discovery_rounds || !message_of_round ||
        beat.sender.name == self_.name)
    {
        return false;
    }
    const auto known = std::ranges::count_if(
        others_, [&](const auto& item) { return is_live(item.second, now); });
    return static_cast<std::ptrdiff_t>(beat.counts.size()) < known;
}

void fleet_members::merge_member(
    const fleet_member& news, base::instant now, receive_result& out)
{
    if (news.name == self_.name)
    {
        return;
    }
    const auto key = key_of(news.name);
    const auto known = others_.find(key);
    if (known == others_.end())
    {
        others_.emplace(key, entry{news, now, now});
        last_joined_at_ = now;
        out.changed.push_back(news.name);
        return;
    }
    auto& current = known->second;
    const auto version = std::pair{news.incarnation, news.heartbeat};
    if (version <=
        std::pair{current.member.incarnation, current.member.heartbeat})
    {
        return;
    }
    const bool unchanged =
        is_live(current, now) && current.member.leaving == news.leaving;
    const bool same_life =
        is_live(current, now) && current.member.incarnation == news.incarnation;
    current = {news, now, same_life ? current.live_since : now};
    last_joined_at_ = same_life ? last_joined_at_ : now;
    if (!unchanged)
    {
        out.changed.push_back(news.name);
    }
}

void fleet_members::merge_counts(
    const fleet_beat& beat, base::instant now, receive_result& out)
{
    fleet_beat query{.sender = self_};
    for (const auto& count : beat.counts)
    {
        if (count.key == key_of(self_.name))
        {
            continue;
        }
        const auto known = others_.find(count.key);
        // A newer incarnation may have other addresses.
        if (known == others_.end() ||
            known->second.member.incarnation < count.incarnation)
        {
            query.unknown.push_back(count.key);
            continue;
        }
        auto updated = known->second.member;
        if (updated.incarnation == count.incarnation)
        {
            updated.heartbeat = count.heartbeat;
            updated.requests_per_s = count.requests_per_s;
            updated.leaving = updated.leaving || count.leaving;
            merge_member(updated, now, out);
        }
    }
    if (!query.unknown.empty())
    {
        out.replies.push_back({beat.sender.peer_address, std::move(query)});
    }
}

// Sends the descriptions that the sender asked for.
void fleet_members::answer_unknown(
    const fleet_beat& beat, receive_result& out) const
{
    fleet_beat answer{.sender = self_};
    for (const auto key : beat.unknown)
    {
        const auto known = others_.find(key);
        if (known == others_.end())
        {
            continue;
        }
        answer.members.push_back(known->second.member);
        if (answer.members.size() == max_members_per_answer)
        {
            out.replies.push_back({beat.sender.peer_address, answer});
            answer.members.clear();
        }
    }
    if (!answer.members.empty())
    {
        out.replies.push_back({beat.sender.peer_address, std::move(answer)});
    }
}

std::vector<base::endpoint> fleet_members::zone_receivers(
    base::instant now) const
{
    std::vector<base::endpoint> receivers;
    for (const auto& [key, other] : others_)
    {
        if (other.member.zone == self_.zone && is_live(other, now))
        {
            receivers.push_back(other.member.peer_address);
        }
    }
    return receivers;
}

std::vector<base::endpoint> fleet_members::other_zones_receivers(
    base::instant now)
{
    std::map<std::string_view, std::vector<base::endpoint>> by_zone;
    for (const auto& [key, other] : others_)
    {
        if (other.member.zone != self_.zone && is_live(other, now))
        {
            by_zone[other.member.zone].push_back(other.member.peer_address);
        }
    }
    std::vector<base::endpoint> receivers;
    for (auto& [zone, daemons] : by_zone)
    {
        std::ranges::sample(
            daemons, std::back_inserter(receivers), news_fanout, random_);
    }
    return receivers;
}

std::vector<fleet_member> fleet_members::live(base::instant now) const
{
    std::vector<fleet_member> members{self_};
    for (const auto& [key, other] : others_)
    {
        if (is_live(other, now))
        {
            members.push_back(other.member);
        }
    }
    return members;
}

std::vector<fleet_members::known_member> fleet_members::known(
    base::instant now) const
{
    std::vector<known_member> members{{self_.name, self_.region, {}}};
    for (const auto& [key, other] : others_)
    {
        if (!other.member.leaving)
        {
            members.push_back(
                {other.member.name,
                 other.member.region,
                 now - other.heartbeat_at});
        }
    }
    return members;
}

std::vector<fleet_members::peer> fleet_members::peers(base::instant now) const
{
    std::vector<peer> found;
    for (const auto& [key, other] : others_)
    {
        if (!other.member.leaving)
        {
            found.push_back(
                {key,
                 other.member.peer_address,
                 now - other.heartbeat_at,
                 now - other.live_since});
        }
    }
    return found;
}

bool fleet_members::others_expected() const
{
    return std::ranges::any_of(
        seeds_,
        [&](const base::endpoint& seed) { return seed != self_.peer_address; });
}

std::vector<std::string> fleet_members::live_names(base::instant now) const
{
    std::vector<std::string> names;
    for (auto& member : live(now))
    {
        names.push_back(std::move(member.name));
    }
    return names;
}

} // namespace waxwingvalve::decision::steering
