#include "decision/steering/fleet_members.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace waxwingvalve::decision::steering
{
namespace
{

std::uint64_t key_of(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace

bool fleet_members::is_live(const entry& one, base::instant now) const
{
    return now - one.heartbeat_at <= liveness_timeout;
}

fleet_beat fleet_members::make_beat(base::instant now) const
{
    fleet_beat out{.sender = self_};
    for (const auto& [key, one] : others_)
    {
        if (is_live(one, now))
        {
            out.counts.push_back(
                {key,
                 one.member.incarnation,
                 one.member.heartbeat,
                 one.member.requests_per_s,
                 one.member.leaving});
        }
    }
    return out;
}

// Some daemons of the own zone, and few enough of other zones.
std::vector<base::endpoint> fleet_members::choose_receivers(base::instant now)
{
    std::vector<base::endpoint> near;
    std::vector<base::endpoint> far;
    double in_zone = 1;
    for (const auto& [key, one] : others_)
    {
        const bool same_zone = one.member.zone == self_.zone;
        (same_zone ? near : far).push_back(one.member.peer_address);
        in_zone += same_zone && is_live(one, now) ? 1 : 0;
    }
    std::ranges::shuffle(near, random_);
    std::ranges::shuffle(far, random_);
    near.resize(std::min(near.size(), same_zone_fanout));
    std::uniform_real_distribution<double> chance{0.0, 1.0};
    const auto far_count = static_cast<std::size_t>(
        cross_zone_messages_per_round / in_zone + chance(random_));
    far.resize(std::min(far.size(), far_count));
    near.insert(near.end(), far.begin(), far.end());
    return near;
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
        [&](const auto& one)
        { return now - one.second.heartbeat_at > removal_timeout; });

    auto to = choose_receivers(now);
    const bool tell_seed =
        self_.heartbeat % rounds_per_seed_message == 1 || to.empty();
    if (!seeds_.empty() && tell_seed)
    {
        std::uniform_int_distribution<std::size_t> pick{0, seeds_.size() - 1};
        to.push_back(seeds_[pick(random_)]);
    }
    const auto beat = make_beat(now);
    std::vector<message> out;
    for (auto& where : to)
    {
        if (where != self_.peer_address)
        {
            out.push_back({std::move(where), beat});
        }
    }
    return out;
}

fleet_members::receive_result fleet_members::receive(
    const fleet_beat& beat, base::instant now)
{
    receive_result out;
    const auto sender = others_.find(key_of(beat.sender.name));
    const bool joins =
        beat.sender.name != self_.name &&
        (sender == others_.end() ||
         sender->second.member.incarnation < beat.sender.incarnation);
    merge_member(beat.sender, now, out);
    if (joins)
    {
        // It should not have to wait until somebody draws it.
        out.replies.push_back({beat.sender.peer_address, make_beat(now)});
    }
    for (const auto& one : beat.members)
    {
        merge_member(one, now, out);
    }
    merge_counts(beat, now, out);
    answer_unknown(beat, out);
    peak_live_count_ = std::max(peak_live_count_, live(now).size());
    return out;
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
        others_.emplace(key, entry{news, now});
        out.changed.push_back(news.name);
        return;
    }
    auto& one = known->second;
    const auto age = std::pair{news.incarnation, news.heartbeat};
    if (age <= std::pair{one.member.incarnation, one.member.heartbeat})
    {
        return;
    }
    const bool told_before =
        is_live(one, now) && one.member.leaving == news.leaving;
    one = {news, now};
    if (!told_before)
    {
        out.changed.push_back(news.name);
    }
}

void fleet_members::merge_counts(
    const fleet_beat& beat, base::instant now, receive_result& out)
{
    fleet_beat question{.sender = self_};
    for (const auto& count : beat.counts)
    {
        if (count.key == key_of(self_.name))
        {
            continue;
        }
        const auto known = others_.find(count.key);
        // A later start may have other addresses.
        if (known == others_.end() ||
            known->second.member.incarnation < count.incarnation)
        {
            question.unknown.push_back(count.key);
            continue;
        }
        auto news = known->second.member;
        if (news.incarnation == count.incarnation)
        {
            news.heartbeat = count.heartbeat;
            news.requests_per_s = count.requests_per_s;
            news.leaving = news.leaving || count.leaving;
            merge_member(news, now, out);
        }
    }
    if (!question.unknown.empty())
    {
        out.replies.push_back({beat.sender.peer_address, std::move(question)});
    }
}

// Answers a daemon that asked.
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

std::vector<fleet_member> fleet_members::live(base::instant now) const
{
    std::vector<fleet_member> out{self_};
    for (const auto& [key, one] : others_)
    {
        if (is_live(one, now))
        {
            out.push_back(one.member);
        }
    }
    return out;
}

std::vector<std::string> fleet_members::live_names(base::instant now) const
{
    std::vector<std::string> out;
    for (auto& one : live(now))
    {
        out.push_back(std::move(one.name));
    }
    return out;
}

} // namespace waxwingvalve::decision::steering
