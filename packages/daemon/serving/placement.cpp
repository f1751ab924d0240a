#include "daemon/serving/placement.hpp"

#include <algorithm>
#include <numeric>

#include "base/log.hpp"
#include "decision/ownership/rendezvous.hpp"

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;
using base::log_channel;
using base::log_event;
using base::log_level;
using base::result_code;

namespace
{

// Until the daemons have heard of one another, those of the settings count
// as alive, so that a zone cut off at its start can serve.
member_pointer members_of_settings(const schema::daemon_settings& settings)
{
    decision::membership::member_snapshot out;
    for (const auto& peer : settings.peers)
    {
        out.members.push_back(
            {{.name = peer.name,
              .region = peer.region,
              .zone = peer.zone,
              .caller_address = peer.caller_address,
              .peer_address = peer.peer_address},
             decision::membership::member_state::alive,
             {}});
    }
    return std::make_shared<const decision::membership::member_snapshot>(
        std::move(out));
}

} // namespace

placement::placement(
    asio::any_io_executor executor, const schema::daemon_settings& settings)
    : executor_{std::move(executor)}, members_{members_of_settings(settings)},
      configuration_{std::make_shared<decision::records::configuration>()}
{
    zone_members_[settings.zone].push_back(settings.name);
    for (const auto& peer : settings.peers)
    {
        zone_members_[peer.zone].push_back(peer.name);
    }
}

std::optional<std::string_view> placement::owner_of(
    const schema::worker& one) const
{
    const auto zone = zone_members_.find(one.zone);
    if (zone == zone_members_.end())
    {
        return std::nullopt;
    }
    return decision::ownership::rendezvous(
        base::to_string(one.address), zone->second);
}

void placement::adopt(
    std::shared_ptr<const decision::records::configuration> next)
{
    configuration_ = std::move(next);
    rebuild_pools();
}

void placement::adopt_members(member_pointer next)
{
    members_ = std::move(next);
}

void placement::adopt_ownership(decision::ownership::owned_workers next)
{
    const bool changed = next.version != ownership_.version;
    ownership_ = std::move(next);
    if (changed)
    {
        rebuild_pools();
    }
}

bool placement::owns(const schema::worker& one) const
{
    return ownership_.addresses.contains(one.address);
}

bool placement::may_dispatch() const
{
    return ownership_.may_dispatch &&
           base::monotonic_clock::now() < ownership_.dispatch_until;
}

// Requests of a daemon that is gone may still occupy slots.
std::uint32_t placement::free_slots(const worker_pool& pool) const
{
    const auto inherited = ownership_.inherited.find(pool.address());
    const auto taken =
        inherited == ownership_.inherited.end() ? 0 : inherited->second.taken;
    return pool.free_slots() - std::min(pool.free_slots(), taken);
}

decision::ownership::serving_state placement::ownership_state() const
{
    decision::ownership::serving_state out{ownership_.version, {}};
    for (const auto& [name, all] : owned_)
    {
        for (const auto& pool : all)
        {
            if (pool->in_use() > 0)
            {
                out.running.insert(pool->address());
            }
        }
    }
    for (const auto& one : dropped_)
    {
        const auto pool = one.lock();
        if (pool && pool->in_use() > 0)
        {
            out.running.insert(pool->address());
        }
    }
    return out;
}

std::vector<schema::service_room> placement::rooms() const
{
    std::vector<schema::service_room> out;
    for (const auto& [name, all] : owned_)
    {
        const auto room = own_capacity(name);
        if (room.slots > 0)
        {
            out.push_back({name, room.slots, room.free});
        }
    }
    return out;
}

void placement::rebuild_pools()
{
    std::map<std::string, pools, std::less<>> owned;
    for (const auto& [key, record] : configuration_->by_key)
    {
        const auto* service = std::get_if<schema::service>(&record.body);
        if (service == nullptr)
        {
            continue;
        }
        auto& before = owned_[service->name];
        auto& now = owned[service->name];
        for (const auto& one : service->workers)
        {
            if (!owns(one))
            {
                continue;
            }
            const auto kept = std::ranges::find_if(
                before,
                [&](const auto& pool)
                { return pool->address() == one.address; });
            now.push_back(
                kept != before.end()
                    ? *kept
                    : std::make_shared<worker_pool>(executor_, one));
            now.back()->set_slots(one.slots);
        }
    }
    std::erase_if(dropped_, [](const auto& one) { return one.expired(); });
    for (const auto& [name, all] : owned_)
    {
        for (const auto& pool : all)
        {
            if (pool->in_use() > 0 &&
                !ownership_.addresses.contains(pool->address()))
            {
                dropped_.push_back(pool);
            }
        }
    }
    owned_ = std::move(owned);
}

capacity placement::own_capacity(std::string_view service) const
{
    capacity out;
    const auto found = owned_.find(service);
    if (found == owned_.end())
    {
        return out;
    }
    for (const auto& pool : found->second)
    {
        out.slots += pool->slots();
        out.free += free_slots(*pool);
    }
    return out;
}

std::uint32_t placement::slots_of(
    std::string_view daemon, const schema::service& service) const
{
    return std::accumulate(
        service.workers.begin(),
        service.workers.end(),
        std::uint32_t{0},
        [&](std::uint32_t sum, const schema::worker& one)
        { return owner_of(one) == daemon ? sum + one.slots : sum; });
}

std::optional<peer_target> placement::choose_peer(
    const schema::service& service)
{
    const auto& members = members_->members;
    for (std::size_t tried = 0; tried < members.size(); ++tried)
    {
        const auto& peer = members[next_peer_++ % members.size()];
        if (peer.state == decision::membership::member_state::alive &&
            slots_of(peer.report.name, service) > 0)
        {
            return peer_target{peer.report.name, peer.report.caller_address};
        }
    }
    return std::nullopt;
}

placed placement::place(std::string_view service, bool may_pass)
{
    const auto* record = configuration_->find_service(service);
    if (record == nullptr)
    {
        return base::error{result_code::service_unknown, std::string{service}};
    }
    const auto& own = owned_[record->name];
    const auto freest = std::ranges::max_element(
        own, {}, [this](const auto& pool) { return free_slots(*pool); });
    if (freest != own.end() && may_dispatch() && free_slots(**freest) > 0)
    {
        log_event(
            log_level::info,
            log_channel::routing,
            "decision",
            "service",
            service,
            "chosen",
            base::to_string((*freest)->address()),
            "among",
            own.size(),
            "why",
            "own-worker-with-most-room",
            "revision",
            configuration_->revision);
        return slot_hold{*freest};
    }
    auto peer = may_pass ? choose_peer(*record) : std::nullopt;
    if (!peer)
    {
        return base::error{result_code::no_room, std::string{service}};
    }
    log_event(
        log_level::info,
        log_channel::routing,
        "decision",
        "service",
        service,
        "chosen",
        peer->name,
        "among",
        members_->members.size(),
        "why",
        "no-room-here",
        "revision",
        configuration_->revision);
    return std::move(*peer);
}

} // namespace waxwingvalve::daemon::serving
