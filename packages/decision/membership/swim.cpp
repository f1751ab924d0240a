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

// Messages that carry a change before anything else.
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
    auto& one = members_[seed.name];
    one.seed = true;
    if (one.report.name.empty())
    {
        one.report = std::move(seed);
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
    std::vector<outgoing_message> out;
    for (auto& one : probes_)
    {
        const bool late = now - one.sent_at >= options_.probe_timeout;
        if (!one.answered && !one.indirect && late)
        {
            one.indirect = true;
            send_ping_requests(one, now, out);
        }
    }
    if (!period_start_ || now - *period_start_ >= options_.probe_period)
    {
        begin_period(now, out);
    }
    return out;
}

void swim::begin_period(base::instant now, std::vector<outgoing_message>& out)
{
    period_start_ = now;
    ++self_.version;
    for (const auto& one : probes_)
    {
        end_probe(one);
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
        out.push_back(make_message(
            *target, report.peer_address, message_kind::ping, now));
        out.back().message.probe = last_probe_id_;
    }
}

void swim::end_probe(const probe& ended)
{
    const auto found = members_.find(ended.target);
    if (ended.answered || found == members_.end() || found->second.dead)
    {
        return;
    }
    auto& one = found->second;
    // A report made since the probe began is as good as its answer.
    if (one.report.version > ended.version || one.suspect)
    {
        return;
    }
    one.suspect = true;
    one.urgent_sends_left = max_urgent_sends;
    ++suspicions_;
}

void swim::send_ping_requests(
    const probe& one, base::instant now, std::vector<outgoing_message>& out)
{
    const auto target = members_.find(one.target);
    if (target == members_.end())
    {
        return;
    }
    // Its own zone knows it; others may have dropped it from what they keep.
    std::vector<std::string> helpers;
    for (const auto& [name, other] : members_)
    {
        if (name != one.target && !other.dead && !other.suspect &&
            other.report.zone == target->second.report.zone)
        {
            helpers.push_back(name);
        }
    }
    std::ranges::shuffle(helpers, random_);
    helpers.resize(std::min(helpers.size(), options_.indirect_probes));
    for (const auto& name : helpers)
    {
        out.push_back(make_message(
            name,
            members_.at(name).report.peer_address,
            message_kind::ping_request,
            now));
        out.back().message.probe = one.id;
        out.back().message.target = one.target;
    }
}

// Round robin over a shuffled list: each member is probed once a round.
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
        for (const auto& [name, one] : members_)
        {
            if (one.report.zone == self_.zone && !one.dead)
            {
                probe_round_.push_back(name);
            }
        }
        std::ranges::shuffle(probe_round_, random_);
    }
    return std::nullopt;
}

// The long-range peers are drawn by a hash that changes with each rotation,
// so that every daemon keeps few connections and the graph of all of them
// stays connected.
std::optional<std::string> swim::next_remote_target(base::instant now)
{
    const auto epoch = now.time_since_epoch() / options_.remote_peer_rotation;
    std::vector<std::pair<std::uint64_t, std::string>> far;
    for (const auto& [name, one] : members_)
    {
        if (one.report.zone != self_.zone && !one.dead)
        {
            const auto key = self_.name + '/' + name;
            far.emplace_back(
                XXH3_64bits_withSeed(
                    key.data(), key.size(), static_cast<std::uint64_t>(epoch)),
                name);
        }
    }
    if (far.empty())
    {
        return std::nullopt;
    }
    std::ranges::sort(far);
    far.resize(std::min(far.size(), options_.remote_peers));
    return far[next_remote_index_++ % far.size()].second;
}

outgoing_message swim::make_message(
    const std::string& to,
    const base::endpoint& where,
    message_kind kind,
    base::instant now)
{
    outgoing_message out{to, where, {}};
    set_header(out.message);
    out.message.kind = kind;
    add_reports(out.message, now);
    return out;
}

// Changes first, then what was not sent for longest.
void swim::add_reports(peer_message& message, base::instant now)
{
    message.members.push_back({self_, 0, false});
    std::vector<member_entry*> order;
    for (auto& [name, one] : members_)
    {
        if (!one.dead && one.report.incarnation != 0)
        {
            order.push_back(&one);
        }
    }
    std::ranges::sort(
        order,
        [](const member_entry* left, const member_entry* right)
        {
            return std::tuple{-left->urgent_sends_left, left->sent_at} <
                   std::tuple{-right->urgent_sends_left, right->sent_at};
        });
    auto zone_left = options_.max_zone_updates;
    auto far_left = options_.max_remote_updates;
    for (auto* one : order)
    {
        auto& left = one->report.zone == self_.zone ? zone_left : far_left;
        if (left == 0)
        {
            continue;
        }
        --left;
        one->sent_at = now;
        one->urgent_sends_left -= one->urgent_sends_left > 0 ? 1 : 0;
        const auto age = base::to_milliseconds(now - one->heard_at);
        message.members.push_back(
            {one->report, static_cast<std::uint32_t>(age), one->suspect});
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
    std::vector<outgoing_message> out;
    const auto sender = members_.find(message.sender);
    if (sender == members_.end())
    {
        return out;
    }
    const auto& where = sender->second.report.peer_address;
    if (message.kind == message_kind::ping)
    {
        out.push_back(
            make_message(message.sender, where, message_kind::ack, now));
        out.back().message.probe = message.probe;
    }
    if (message.kind == message_kind::ping_request)
    {
        const auto target = members_.find(message.target);
        if (target != members_.end())
        {
            relayed_probes_[++last_probe_id_] = {
                message.sender, message.probe, now};
            out.push_back(make_message(
                message.target,
                target->second.report.peer_address,
                message_kind::ping,
                now));
            out.back().message.probe = last_probe_id_;
        }
    }
    if (message.kind == message_kind::ack)
    {
        for (auto& one : probes_)
        {
            one.answered = one.answered || one.id == message.probe;
        }
        if (auto asked = relayed_probes_.extract(message.probe))
        {
            const auto requester = members_.find(asked.mapped().requester);
            if (requester != members_.end())
            {
                out.push_back(make_message(
                    requester->first,
                    requester->second.report.peer_address,
                    message_kind::ack,
                    now));
                out.back().message.probe = asked.mapped().requester_probe_id;
            }
        }
    }
    return out;
}

void swim::merge(const schema::member_update& update, base::instant now)
{
    if (update.report.name == self_.name)
    {
        merge_self(update);
        return;
    }
    auto& one = members_[update.report.name];
    const auto before = one.report.incarnation;
    const bool known = !one.report.name.empty();
    if (one.dead && update.report.incarnation <= before)
    {
        return;
    }
    if (newer(update.report, one.report) || !known)
    {
        const bool changed = update.report.incarnation != before ||
                             update.report.leaving != one.report.leaving ||
                             update.report.revision != one.report.revision ||
                             update.suspect != one.suspect;
        one.report = update.report;
        one.suspect = update.suspect;
        one.dead = false;
        one.heard_at = now - std::chrono::milliseconds{update.age_ms};
        one.urgent_sends_left =
            changed ? max_urgent_sends : one.urgent_sends_left;
        trim_remote_zone(update.report.zone);
        return;
    }
    const bool same = !newer(one.report, update.report);
    if (same && update.suspect && !one.suspect)
    {
        one.suspect = true;
        one.urgent_sends_left = max_urgent_sends;
    }
}

void swim::merge_self(const schema::member_update& update)
{
    if (update.report.incarnation > self_.incarnation)
    {
        // The clock that gave this incarnation stood behind the one before.
        self_.incarnation = update.report.incarnation + 1;
        self_.version = 0;
        return;
    }
    if (update.suspect && update.report.incarnation == self_.incarnation)
    {
        self_.version = std::max(self_.version, update.report.version) + 1;
    }
}

// Keeps the members heard of last of another zone.
void swim::trim_remote_zone(const std::string& zone)
{
    if (zone == self_.zone)
    {
        return;
    }
    auto oldest = members_.end();
    std::size_t count = 0;
    for (auto one = members_.begin(); one != members_.end(); ++one)
    {
        if (one->second.report.zone != zone || one->second.seed)
        {
            continue;
        }
        ++count;
        if (oldest == members_.end() ||
            one->second.heard_at < oldest->second.heard_at)
        {
            oldest = one;
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
            const auto& one = item.second;
            return one.dead && !one.seed &&
                   now - one.died_at > options_.forget_dead_after;
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
    std::vector<outgoing_message> out;
    for (const auto& [name, one] : members_)
    {
        if (one.report.zone == self_.zone && !one.dead)
        {
            out.push_back(make_message(
                name, one.report.peer_address, message_kind::ack, now));
        }
    }
    return out;
}

const member_report* swim::find(const std::string& name) const
{
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second.report;
}

member_snapshot swim::snapshot() const
{
    member_snapshot out;
    for (const auto& [name, one] : members_)
    {
        auto state =
            one.report.leaving ? member_state::leaving : member_state::alive;
        state = one.suspect ? member_state::suspect : state;
        state = one.dead ? member_state::dead : state;
        out.members.push_back({one.report, state, one.heard_at});
    }
    return out;
}

std::vector<std::string> swim::zone_suspects() const
{
    std::vector<std::string> out;
    for (const auto& [name, one] : members_)
    {
        if (one.suspect && !one.dead && one.report.zone == self_.zone)
        {
            out.push_back(name);
        }
    }
    return out;
}

} // namespace waxwingvalve::decision::membership
