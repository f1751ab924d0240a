#include "decision/membership/swim.hpp"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace waxwingvalve::decision::membership
{

using schema::message_kind;
using schema::peer_message;

namespace
{

// Number of messages in which an entry goes first after a change.
constexpr int max_urgent_sends = 8;

bool newer(const member_report& left, const member_report& right)
{
    return std::tie(left.incarnation, left.version) >
           std::tie(right.incarnation, right.version);
}

} // namespace

swim::swim(member_report self, swim_options options, std::uint64_t seed)
    : self_{std::move(self)}, options_{options}, random_{seed}
{
}

void swim::add_seed(member_report seed)
{
    if (seed.name == self_.name)
    {
        return;
    }
    seed.incarnation = 0;
    auto& entry = members_[seed.name];
    entry.seed = true;
    if (entry.report.name.empty())
    {
        entry.report = std::move(seed);
    }
}

void swim::set_self(member_report report)
{
    report.incarnation = self_.incarnation;
    report.version = self_.version;
    self_ = std::move(report);
}

void swim::set_header(peer_message& message)
{
    message.sender = self_.name;
    message.incarnation = self_.incarnation;
    message.sequence = ++last_sequence_;
}

std::vector<outgoing_message> swim::tick(base::instant now)
{
    std::vector<outgoing_message> messages;
    for (auto& pending : probes_)
    {
        const bool timed_out = now - pending.sent_at >= options_.probe_timeout;
        if (!pending.answered && !pending.indirect && timed_out)
        {
            pending.indirect = true;
            send_ping_requests(pending, now, messages);
        }
    }
    if (!period_start_ || now - *period_start_ >= options_.probe_period)
    {
        begin_period(now, messages);
    }
    return messages;
}

void swim::begin_period(
    base::instant now, std::vector<outgoing_message>& messages)
{
    period_start_ = now;
    ++self_.version;
    for (const auto& pending : probes_)
    {
        end_probe(pending);
    }
    probes_.clear();
    remove_expired(now);
    for (const auto& target : {next_zone_target(), next_remote_target(now)})
    {
        if (!target)
        {
            continue;
        }
        const auto& report = members_.at(*target).report;
        probes_.push_back({++last_probe_id_, *target, report.version, now});
        messages.push_back(make_message(
            *target, report.peer_address, message_kind::ping, now));
        messages.back().message.probe = last_probe_id_;
    }
}

void swim::end_probe(const probe& ended)
{
    const auto found = members_.find(ended.target);
    if (ended.answered || found == members_.end() || found->second.dead)
    {
        return;
    }
    auto& entry = found->second;
    // A report newer than the probe shows that the member is alive, as an
    // answer would.
    if (entry.report.version > ended.version || entry.suspect)
    {
        return;
    }
    entry.suspect = true;
    entry.urgent_sends_left = max_urgent_sends;
    ++suspicions_;
}

void swim::send_ping_requests(
    const probe& unanswered,
    base::instant now,
    std::vector<outgoing_message>& messages)
{
    const auto target = members_.find(unanswered.target);
    if (target == members_.end())
    {
        return;
    }
    // Only members of the target's zone are sure to know it: other zones keep
    // at most max_members_per_remote_zone of its members.
    std::vector<std::string> helpers;
    for (const auto& [name, entry] : members_)
    {
        if (name != unanswered.target && !entry.dead && !entry.suspect &&
            entry.report.zone == target->second.report.zone)
        {
            helpers.push_back(name);
        }
    }
    std::ranges::shuffle(helpers, random_);
    helpers.resize(std::min(helpers.size(), options_.indirect_probes));
    for (const auto& name : helpers)
    {
        messages.push_back(make_message(
            name,
            members_.at(name).report.peer_address,
            message_kind::ping_request,
            now));
        messages.back().message.probe = unanswered.id;
        messages.back().message.target = unanswered.target;
    }
}

// Round robin over a shuffled list, so each member is probed once per round.
std::optional<std::string> swim::next_zone_target()
{
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        while (!probe_round_.empty())
        {
            auto name = std::move(probe_round_.back());
            probe_round_.pop_back();
            const auto found = members_.find(name);
            if (found != members_.end() && !found->second.dead)
            {
                return name;
            }
        }
        for (const auto& [name, entry] : members_)
        {
            if (entry.report.zone == self_.zone && !entry.dead)
            {
                probe_round_.push_back(name);
            }
        }
        std::ranges::shuffle(probe_round_, random_);
    }
    return std::nullopt;
}

// Selects the remote peers by a hash that changes with each rotation. Each
// daemon needs only a few connections, and the graph of all daemons stays
// connected.
std::optional<std::string> swim::next_remote_target(base::instant now)
{
    const auto rotation =
        now.time_since_epoch() / options_.remote_peer_rotation;
    std::vector<std::pair<std::uint64_t, std::string>> ranked_peers;
    for (const auto& [name, entry] : members_)
    {
        if (entry.report.zone != self_.zone && !entry.dead)
        {
            const auto key = self_.name + '/' + name;
            ranked_peers.emplace_back(
                XXH3_64bits_withSeed(
                    key.data(),
                    key.size(),
                    static_cast<std::uint64_t>(rotation)),
                name);
        }
    }
    if (ranked_peers.empty())
    {
        return std::nullopt;
    }
    std::ranges::sort(ranked_peers);
    ranked_peers.resize(std::min(ranked_peers.size(), options_.remote_peers));
    return ranked_peers[next_remote_index_++ % ranked_peers.size()].second;
}

outgoing_message swim::make_message(
    const std::string& to,
    const base::endpoint& address,
    message_kind kind,
    base::instant now)
{
    outgoing_message outgoing{to, address, {}};
    set_header(outgoing.message);
    outgoing.message.kind = kind;
    add_reports(outgoing.message, now);
    return outgoing;
}

// Adds this daemon's own report, then entries with recent changes, then those
// sent least recently.
void swim::add_reports(peer_message& message, base::instant now)
{
    message.members.push_back({self_, 0, false});
    std::vector<member_entry*> candidates;
    for (auto& [name, entry] : members_)
    {
        if (!entry.dead && entry.report.incarnation != 0)
        {
            candidates.push_back(&entry);
        }
    }
    std::ranges::sort(
        candidates,
        [](const member_entry* left, const member_entry* right)
        {
            return std::tuple{-left->urgent_sends_left, left->sent_at} <
                   std::tuple{-right->urgent_sends_left, right->sent_at};
        });
    auto zone_updates_left = options_.max_zone_updates;
    auto remote_updates_left = options_.max_remote_updates;
    for (auto* entry : candidates)
    {
        auto& updates_left = entry->report.zone == self_.zone
                                 ? zone_updates_left
                                 : remote_updates_left;
        if (updates_left == 0)
        {
            continue;
        }
        --updates_left;
        entry->sent_at = now;
        entry->urgent_sends_left -= entry->urgent_sends_left > 0 ? 1 : 0;
        const auto age = base::to_milliseconds(now - entry->heard_at);
        message.members.push_back(
            {entry->report, static_cast<std::uint32_t>(age), entry->suspect});
    }
}

base::result<std::vector<outgoing_message>> swim::receive(
    const peer_message& message, base::instant now)
{
    BOOST_OUTCOME_TRY(sequence_guard_.admit(message));
    for (const auto& update : message.members)
    {
        merge(update, now);
    }
    std::vector<outgoing_message> messages;
    const auto sender = members_.find(message.sender);
    if (sender == members_.end())
    {
        return messages;
    }
    const auto& address = sender->second.report.peer_address;
    if (message.kind == message_kind::ping)
    {
        messages.push_back(
            make_message(message.sender, address, message_kind::ack, now));
        messages.back().message.probe = message.probe;
    }
    if (message.kind == message_kind::ping_request)
    {
        const auto target = members_.find(message.target);
        if (target != members_.end())
        {
            relayed_probes_[++last_probe_id_] = {
                message.sender, message.probe, now};
            messages.push_back(make_message(
                message.target,
                target->second.report.peer_address,
                message_kind::ping,
                now));
            messages.back().message.probe = last_probe_id_;
        }
    }
    if (message.kind == message_kind::ack)
    {
        for (auto& pending : probes_)
        {
            pending.answered = pending.answered || pending.id == message.probe;
        }
        if (auto relayed = relayed_probes_.extract(message.probe))
        {
            const auto requester = members_.find(relayed.mapped().requester);
            if (requester != members_.end())
            {
                messages.push_back(make_message(
                    requester->first,
                    requester->second.report.peer_address,
                    message_kind::ack,
                    now));
                messages.back().message.probe =
                    relayed.mapped().requester_probe_id;
            }
        }
    }
    return messages;
}

void swim::merge(const schema::member_update& update, base::instant now)
{
    if (update.report.name == self_.name)
    {
        merge_self(update);
        return;
    }
    auto& entry = members_[update.report.name];
    const auto previous_incarnation = entry.report.incarnation;
    const bool known = !entry.report.name.empty();
    if (entry.dead && update.report.incarnation <= previous_incarnation)
    {
        return;
    }
    if (newer(update.report, entry.report) || !known)
    {
        const bool changed =
            update.report.incarnation != previous_incarnation ||
            update.report.leaving != entry.report.leaving ||
            update.report.revision != entry.report.revision ||
            update.suspect != entry.suspect;
        entry.report = update.report;
        entry.suspect = update.suspect;
        entry.dead = false;
        entry.heard_at = now - std::chrono::milliseconds{update.age_ms};
        entry.urgent_sends_left =
            changed ? max_urgent_sends : entry.urgent_sends_left;
        trim_remote_zone(update.report.zone);
        return;
    }
    const bool same_version = !newer(entry.report, update.report);
    if (same_version && update.suspect && !entry.suspect)
    {
        entry.suspect = true;
        entry.urgent_sends_left = max_urgent_sends;
    }
}

void swim::merge_self(const schema::member_update& update)
{
    if (update.report.incarnation > self_.incarnation)
    {
        // Incarnations come from the clock. An earlier process of this daemon
        // has a higher one, so the clock has been set back since.
        self_.incarnation = update.report.incarnation + 1;
        self_.version = 0;
        return;
    }
    if (update.suspect && update.report.incarnation == self_.incarnation)
    {
        self_.version = std::max(self_.version, update.report.version) + 1;
    }
}

// Removes the member heard from least recently if more than the limit are
// known of another zone. Seeds are neither counted nor removed.
void swim::trim_remote_zone(const std::string& zone)
{
    if (zone == self_.zone)
    {
        return;
    }
    auto oldest = members_.end();
    std::size_t count = 0;
    for (auto current = members_.begin(); current != members_.end(); ++current)
    {
        if (current->second.report.zone != zone || current->second.seed)
        {
            continue;
        }
        ++count;
        if (oldest == members_.end() ||
            current->second.heard_at < oldest->second.heard_at)
        {
            oldest = current;
        }
    }
    if (count > options_.max_members_per_remote_zone)
    {
        members_.erase(oldest);
    }
}

void swim::remove_expired(base::instant now)
{
    std::erase_if(
        members_,
        [&](const auto& item)
        {
            const auto& entry = item.second;
            return entry.dead && !entry.seed &&
                   now - entry.died_at > options_.forget_dead_after;
        });
    std::erase_if(
        relayed_probes_,
        [&](const auto& item)
        { return now - item.second.sent_at > options_.probe_period; });
}

void swim::mark_dead(const std::string& name, base::instant now)
{
    const auto found = members_.find(name);
    if (found != members_.end() && !found->second.dead)
    {
        found->second.dead = true;
        found->second.died_at = now;
    }
}

std::vector<outgoing_message> swim::announce(base::instant now)
{
    ++self_.version;
    std::vector<outgoing_message> messages;
    for (const auto& [name, entry] : members_)
    {
        if (entry.report.zone == self_.zone && !entry.dead)
        {
            messages.push_back(make_message(
                name, entry.report.peer_address, message_kind::ack, now));
        }
    }
    return messages;
}

const member_report* swim::find(const std::string& name) const
{
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second.report;
}

member_snapshot swim::snapshot() const
{
    member_snapshot result;
    for (const auto& [name, entry] : members_)
    {
        auto state =
            entry.report.leaving ? member_state::leaving : member_state::alive;
        state = entry.suspect ? member_state::suspect : state;
        state = entry.dead ? member_state::dead : state;
        result.members.push_back({entry.report, state, entry.heard_at});
    }
    return result;
}

std::vector<std::string> swim::zone_suspects() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : members_)
    {
        if (entry.suspect && !entry.dead && entry.report.zone == self_.zone)
        {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace waxwingvalve::decision::membership
