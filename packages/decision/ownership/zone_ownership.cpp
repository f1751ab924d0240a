#include "decision/ownership/zone_ownership.hpp"

#include <algorithm>

#include "decision/ownership/rendezvous.hpp"

namespace waxwingvalve::decision::ownership
{

using schema::message_kind;
using schema::worker_claim;

namespace
{

// Bounds a claim message in bytes; the rest follows with the next retry.
constexpr std::size_t claims_per_message = 100;

} // namespace

zone_ownership::zone_ownership(
    std::string self, std::uint64_t first_stamp, ownership_options options)
    : self_{std::move(self)}, options_{options}, last_stamp_{first_stamp}
{
}

void zone_ownership::set_workers(std::span<const zone_worker> workers)
{
    for (auto& [address, one] : workers_)
    {
        one.removed = true;
    }
    for (const auto& worker : workers)
    {
        auto& one = workers_[worker.address];
        one.slots = worker.slots;
        one.removed = false;
    }
    for (auto& [address, one] : workers_)
    {
        if (one.removed && one.state == claim_state::owned)
        {
            release(address, one);
        }
    }
    std::erase_if(
        workers_,
        [this](const auto& item)
        { return item.second.removed && may_grant(item.first, item.second); });
}

void zone_ownership::set_member(const std::string& name, bool eligible)
{
    if (name != self_)
    {
        eligible_[name] = eligible;
    }
}

void zone_ownership::set_vm_listed(const std::string& name, bool listed)
{
    if (listed)
    {
        unlisted_.erase(name);
        return;
    }
    unlisted_.insert(name);
}

void zone_ownership::leave()
{
    leaving_ = true;
    release_all();
}

void zone_ownership::release_all()
{
    for (auto& [address, one] : workers_)
    {
        if (one.state == claim_state::owned)
        {
            release(address, one);
        }
        one.state = claim_state::idle;
    }
}

std::vector<claim_message> zone_ownership::tick(base::instant now)
{
    // What happened in the zone during a pause is not known: all that was
    // owned has to be claimed again.
    if (last_tick_ && now - *last_tick_ > options_.max_tick_gap)
    {
        release_all();
    }
    last_tick_ = now;
    for (auto& [address, one] : workers_)
    {
        advance_claim(address, one, now);
    }
    owned_.may_dispatch = !owned_.addresses.empty();
    owned_.dispatch_until = now + options_.max_tick_gap;
    return due_claim_messages(now);
}

void zone_ownership::advance_claim(
    const base::endpoint& address, worker_state& one, base::instant now)
{
    const bool wanted = !one.removed && should_own(address);
    if (one.state == claim_state::claiming && !wanted)
    {
        one.state = claim_state::idle;
    }
    if (one.state == claim_state::idle && wanted)
    {
        begin_claim(one, now);
    }
    if (one.state == claim_state::claiming && claim_settled(one))
    {
        take_ownership(address, one);
    }
}

void zone_ownership::begin_claim(worker_state& one, base::instant now)
{
    one.state = claim_state::claiming;
    one.stamp = ++last_stamp_;
    one.claim_start = now;
    one.settled_members.clear();
    // A new claim is sent at once.
    claims_sent_at_.reset();
}

bool zone_ownership::claim_settled(const worker_state& one) const
{
    return std::ranges::all_of(
        eligible_,
        [&](const auto& item)
        { return one.settled_members.contains(item.first); });
}

void zone_ownership::take_ownership(
    const base::endpoint& address, worker_state& one)
{
    one.state = claim_state::owned;
    owned_.addresses.insert(address);
    ++owned_.version;
}

void zone_ownership::release(const base::endpoint& address, worker_state& one)
{
    one.state = claim_state::idle;
    owned_.addresses.erase(address);
    one.released_version = ++owned_.version;
}

std::vector<claim_message> zone_ownership::due_claim_messages(base::instant now)
{
    std::vector<claim_message> out;
    if (claims_sent_at_ &&
        now - *claims_sent_at_ < options_.claim_retry_interval)
    {
        return out;
    }
    claims_sent_at_ = now;
    for (const auto& [name, eligible] : eligible_)
    {
        claim_message message{name, message_kind::claim, {}};
        for (const auto& [address, one] : workers_)
        {
            if (one.state == claim_state::claiming &&
                !one.settled_members.contains(name) &&
                message.claims.size() < claims_per_message)
            {
                message.claims.push_back({address, one.stamp});
            }
        }
        if (!message.claims.empty())
        {
            out.push_back(std::move(message));
        }
    }
    return out;
}

bool zone_ownership::should_own(const base::endpoint& worker) const
{
    if (leaving_)
    {
        return false;
    }
    std::vector<std::string> candidates{self_};
    for (const auto& [name, eligible] : eligible_)
    {
        if (eligible)
        {
            candidates.push_back(name);
        }
    }
    return rendezvous(base::to_string(worker), candidates) == self_;
}

bool zone_ownership::ranks_before_self(
    const std::string& other, const base::endpoint& worker) const
{
    const std::string pair[]{self_, other};
    return leaving_ || rendezvous(base::to_string(worker), pair) == other;
}

// After a worker was dropped the serving thread may still dispatch to it
// until it has the newer set, and its requests still occupy slots.
bool zone_ownership::may_grant(
    const base::endpoint& address, const worker_state& one) const
{
    return one.state != claim_state::owned &&
           serving_.version >= one.released_version &&
           !serving_.running.contains(address);
}

std::optional<claim_message> zone_ownership::on_claim(
    const std::string& from, std::span<const worker_claim> claims)
{
    // One that thaws after its VM left the list may have lost its workers.
    if (from == self_ || unlisted_.contains(from))
    {
        return std::nullopt;
    }
    // From now on this daemon asks the claimant too, known before or not.
    eligible_[from] = true;
    claim_message out{from, message_kind::grant, {}};
    for (const auto& claim : claims)
    {
        auto& one = workers_[claim.worker];
        if (one.slots == 0)
        {
            // Not in this daemon's configuration, and so not claimed here.
            one.removed = true;
        }
        const bool before = ranks_before_self(from, claim.worker);
        if (one.state == claim_state::owned && before)
        {
            release(claim.worker, one);
        }
        if (one.state == claim_state::claiming && before)
        {
            one.state = claim_state::idle;
        }
        if (one.state == claim_state::idle && may_grant(claim.worker, one))
        {
            out.claims.push_back(claim);
        }
    }
    if (out.claims.empty())
    {
        return std::nullopt;
    }
    return out;
}

void zone_ownership::on_grant(
    const std::string& from, std::span<const worker_claim> claims)
{
    for (const auto& grant : claims)
    {
        const auto found = workers_.find(grant.worker);
        if (found != workers_.end() &&
            found->second.state == claim_state::claiming &&
            found->second.stamp == grant.stamp)
        {
            found->second.settled_members.insert(from);
        }
    }
}

void zone_ownership::on_member_dead(
    const std::string& name, base::instant probe_start)
{
    for (auto& [address, one] : workers_)
    {
        // A proof from before the claim says nothing of a daemon that
        // started in between.
        if (one.state == claim_state::claiming &&
            probe_start >= one.claim_start)
        {
            one.settled_members.insert(name);
        }
    }
}

void zone_ownership::on_serving_state(serving_state state)
{
    if (state.version >= serving_.version)
    {
        serving_ = std::move(state);
    }
}

std::vector<std::string> zone_ownership::awaited() const
{
    std::vector<std::string> out;
    for (const auto& member : eligible_)
    {
        const bool waits = std::ranges::any_of(
            workers_,
            [&](const auto& item)
            {
                return item.second.state == claim_state::claiming &&
                       !item.second.settled_members.contains(member.first);
            });
        if (waits)
        {
            out.push_back(member.first);
        }
    }
    return out;
}

std::size_t zone_ownership::open_claim_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        workers_,
        [](const auto& item)
        { return item.second.state == claim_state::claiming; }));
}

} // namespace waxwingvalve::decision::ownership
