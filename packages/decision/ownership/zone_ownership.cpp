#include "decision/ownership/zone_ownership.hpp"

#include <algorithm>

#include "decision/ownership/rendezvous.hpp"

namespace waxwingvalve::decision::ownership
{

using schema::message_kind;
using schema::worker_claim;

namespace
{

// Bounds the size of a claim message. Further claims are sent with the next
// retry.
constexpr std::size_t max_claims_per_message = 100;

} // namespace

zone_ownership::zone_ownership(
    std::string self, std::uint64_t first_stamp, ownership_options options)
    : self_{std::move(self)}, options_{options}, last_stamp_{first_stamp}
{
}

void zone_ownership::set_workers(std::span<const zone_worker> workers)
{
    for (auto& [address, worker] : workers_)
    {
        worker.removed = true;
    }
    for (const auto& configured : workers)
    {
        auto& worker = workers_[configured.address];
        worker.slots = configured.slots;
        worker.removed = false;
    }
    for (auto& [address, worker] : workers_)
    {
        if (worker.removed && worker.state == claim_state::owned)
        {
            release(address, worker);
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
    for (auto& [address, worker] : workers_)
    {
        if (worker.state == claim_state::owned)
        {
            release(address, worker);
        }
        worker.state = claim_state::idle;
    }
}

std::vector<claim_message> zone_ownership::tick(base::instant now)
{
    // During a pause of this process other daemons may have taken over its
    // workers, so it must claim all of them again.
    if (last_tick_ && now - *last_tick_ > options_.max_tick_gap)
    {
        release_all();
    }
    last_tick_ = now;
    for (auto& [address, worker] : workers_)
    {
        advance_claim(address, worker, now);
    }
    owned_.may_dispatch = !owned_.addresses.empty();
    owned_.dispatch_until = now + options_.max_tick_gap;
    return due_claim_messages(now);
}

void zone_ownership::advance_claim(
    const base::endpoint& address, worker_state& worker, base::instant now)
{
    const bool should_claim = !worker.removed && should_own(address);
    if (worker.state == claim_state::claiming && !should_claim)
    {
        worker.state = claim_state::idle;
    }
    if (worker.state == claim_state::idle && should_claim)
    {
        begin_claim(worker, now);
    }
    if (worker.state == claim_state::claiming && claim_settled(worker))
    {
        take_ownership(address, worker);
    }
}

void zone_ownership::begin_claim(worker_state& worker, base::instant now)
{
    worker.state = claim_state::claiming;
    worker.stamp = ++last_stamp_;
    worker.claim_start = now;
    worker.settled_members.clear();
    // Lets the next due_claim_messages() send without waiting for the retry
    // interval.
    claims_sent_at_.reset();
}

bool zone_ownership::claim_settled(const worker_state& worker) const
{
    return std::ranges::all_of(
        eligible_,
        [&](const auto& item)
        { return worker.settled_members.contains(item.first); });
}

void zone_ownership::take_ownership(
    const base::endpoint& address, worker_state& worker)
{
    worker.state = claim_state::owned;
    owned_.addresses.insert(address);
    ++owned_.version;
}

void zone_ownership::release(
    const base::endpoint& address, worker_state& worker)
{
    worker.state = claim_state::idle;
    owned_.addresses.erase(address);
    worker.released_version = ++owned_.version;
}

std::vector<claim_message> zone_ownership::due_claim_messages(base::instant now)
{
    std::vector<claim_message> messages;
    if (claims_sent_at_ &&
        now - *claims_sent_at_ < options_.claim_retry_interval)
    {
        return messages;
    }
    claims_sent_at_ = now;
    for (const auto& [name, eligible] : eligible_)
    {
        claim_message message{name, message_kind::claim, {}};
        for (const auto& [address, worker] : workers_)
        {
            if (worker.state == claim_state::claiming &&
                !worker.settled_members.contains(name) &&
                message.claims.size() < max_claims_per_message)
            {
                message.claims.push_back({address, worker.stamp});
            }
        }
        if (!message.claims.empty())
        {
            messages.push_back(std::move(message));
        }
    }
    return messages;
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
    const std::string candidates[]{self_, other};
    return leaving_ || rendezvous(base::to_string(worker), candidates) == other;
}

// After the release of a worker, the serving thread may still dispatch to it
// until it adopts the newer set, and requests in flight still occupy slots.
bool zone_ownership::may_grant(
    const base::endpoint& address, const worker_state& worker) const
{
    return worker.state != claim_state::owned &&
           serving_.version >= worker.released_version &&
           !serving_.running.contains(address);
}

std::optional<claim_message> zone_ownership::on_claim(
    const std::string& from, std::span<const worker_claim> claims)
{
    // A daemon that resumes after its VM disappeared from the list may have
    // been declared dead, and its workers reassigned.
    if (from == self_ || unlisted_.contains(from))
    {
        return std::nullopt;
    }
    // From now on this daemon's own claims need a grant from the claimant too,
    // even if it was not known as a member.
    eligible_[from] = true;
    claim_message grant{from, message_kind::grant, {}};
    for (const auto& claim : claims)
    {
        auto& worker = workers_[claim.worker];
        if (worker.slots == 0)
        {
            // Not in this daemon's configuration, so it must not claim the
            // worker itself.
            worker.removed = true;
        }
        const bool claimant_first = ranks_before_self(from, claim.worker);
        if (worker.state == claim_state::owned && claimant_first)
        {
            release(claim.worker, worker);
        }
        if (worker.state == claim_state::claiming && claimant_first)
        {
            worker.state = claim_state::idle;
        }
        if (worker.state == claim_state::idle &&
            may_grant(claim.worker, worker))
        {
            grant.claims.push_back(claim);
        }
    }
    if (grant.claims.empty())
    {
        return std::nullopt;
    }
    return grant;
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
    for (auto& [address, worker] : workers_)
    {
        // A check that started before the claim proves nothing: a new process
        // of the daemon may have started in between.
        if (worker.state == claim_state::claiming &&
            probe_start >= worker.claim_start)
        {
            worker.settled_members.insert(name);
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
    std::vector<std::string> names;
    for (const auto& member : eligible_)
    {
        const bool is_awaited = std::ranges::any_of(
            workers_,
            [&](const auto& item)
            {
                return item.second.state == claim_state::claiming &&
                       !item.second.settled_members.contains(member.first);
            });
        if (is_awaited)
        {
            names.push_back(member.first);
        }
    }
    return names;
}

std::size_t zone_ownership::open_claim_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        workers_,
        [](const auto& item)
        { return item.second.state == claim_state::claiming; }));
}

} // namespace waxwingvalve::decision::ownership
