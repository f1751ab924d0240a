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

placement::placement(
    asio::any_io_executor executor, const schema::daemon_settings& settings)
    : executor_{std::move(executor)}, settings_{settings},
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
            if (owner_of(one) != settings_.name)
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

const schema::peer_settings* placement::choose_peer(
    const schema::service& service)
{
    const auto count = settings_.peers.size();
    for (std::size_t tried = 0; tried < count; ++tried)
    {
        const auto& peer = settings_.peers[next_peer_++ % count];
        if (slots_of(peer.name, service) > 0)
        {
            return &peer;
        }
    }
    return nullptr;
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
        own, {}, [](const auto& pool) { return pool->free_slots(); });
    if (freest != own.end() && (*freest)->free_slots() > 0)
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
    const auto* peer = may_pass ? choose_peer(*record) : nullptr;
    if (peer == nullptr)
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
        settings_.peers.size(),
        "why",
        "no-room-here",
        "revision",
        configuration_->revision);
    return peer;
}

} // namespace waxwingvalve::daemon::serving
