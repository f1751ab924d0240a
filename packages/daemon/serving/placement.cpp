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

bool contains(std::span<const base::endpoint> list, const base::endpoint& where)
{
    return std::ranges::find(list, where) != list.end();
}

} // namespace

placement::placement(
    asio::any_io_executor executor, const schema::daemon_settings& settings)
    : executor_{std::move(executor)}, settings_{settings},
      members_{members_of_settings(settings)},
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
    ownership_ = std::move(next);
    rebuild_pools();
}

bool placement::owns(const schema::worker& one) const
{
    if (ownership_)
    {
        return ownership_->may_dispatch &&
               ownership_->addresses.contains(one.address);
    }
    return owner_of(one) == settings_.name;
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
        out.free += pool->free_slots();
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
    const schema::service& service, std::span<const base::endpoint> avoid)
{
    const auto& members = members_->members;
    for (std::size_t tried = 0; tried < members.size(); ++tried)
    {
        const auto& peer = members[next_peer_++ % members.size()];
        if (peer.state == decision::membership::member_state::alive &&
            slots_of(peer.report.name, service) > 0 &&
            !contains(avoid, peer.report.caller_address))
        {
            return peer_target{peer.report.name, peer.report.caller_address};
        }
    }
    return std::nullopt;
}

placed placement::place(
    std::string_view service,
    bool may_pass,
    std::span<const base::endpoint> avoid)
{
    const auto* record = configuration_->find_service(service);
    if (record == nullptr)
    {
        return base::error{result_code::service_unknown, std::string{service}};
    }
    const auto& own = owned_[record->name];
    const auto room = [&](const auto& pool)
    { return contains(avoid, pool->address()) ? 0 : pool->free_slots(); };
    const auto freest = std::ranges::max_element(own, {}, room);
    if (freest != own.end() && room(*freest) > 0)
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
    auto peer = may_pass ? choose_peer(*record, avoid) : std::nullopt;
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
