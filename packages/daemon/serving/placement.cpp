#include "daemon/serving/placement.hpp"

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.hpp"
#include "decision/limits/shares.hpp"
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
    : executor_{std::move(executor)}, settings_{settings},
      members_{members_of_settings(settings)},
      configuration_{std::make_shared<decision::records::configuration>()},
      slots_{std::make_shared<slot_queue>(executor_)},
      health_{std::make_shared<worker_health>(executor_, slots_)}, peers_{
                                                                       settings}
{
    zone_members_[settings.zone].push_back(settings.name);
    for (const auto& peer : settings.peers)
    {
        zone_members_[peer.zone].push_back(peer.name);
    }
}

placement::~placement()
{
    slots_->close();
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
    rebuild();
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
        rebuild();
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

decision::ownership::serving_state placement::ownership_state() const
{
    return {ownership_.version, slots_->admission().running_workers()};
}

std::vector<schema::service_room> placement::rooms() const
{
    std::vector<schema::service_room> out;
    for (const auto& [key, record] : configuration_->by_key)
    {
        const auto* service = std::get_if<schema::service>(&record.body);
        if (service == nullptr)
        {
            continue;
        }
        const auto room = own_capacity(service->name);
        if (room.slots > 0)
        {
            out.push_back({service->name, room.slots, room.free});
        }
    }
    return out;
}

void placement::rebuild()
{
    const auto shares = decision::limits::compute_shares(
        *configuration_,
        settings_.zone,
        [this](const schema::worker& one) { return owns(one); });
    slots_->admission().set_owned_workers(shares, base::monotonic_clock::now());
    drained_ = decision::drains::collect_drains(*configuration_);
    count_configured_slots();
    rebuild_pools();
    apply_drains();
    slots_->pump();
}

void placement::rebuild_pools()
{
    std::map<base::endpoint, pool_pointer> owned;
    std::set<base::endpoint> watched;
    for (const auto& [key, record] : configuration_->by_key)
    {
        const auto* service = std::get_if<schema::service>(&record.body);
        if (service == nullptr)
        {
            continue;
        }
        for (const auto& one : service->workers)
        {
            if (one.zone != settings_.zone || !owns(one))
            {
                continue;
            }
            const auto kept = pools_.find(one.address);
            auto pool = kept != pools_.end() ? kept->second : make_pool(one);
            pool->set_slots(one.slots);
            owned.emplace(one.address, std::move(pool));
            watched.insert(one.address);
        }
    }
    pools_ = std::move(owned);
    health_->watch(std::move(watched));
}

placement::pool_pointer placement::make_pool(const schema::worker& one) const
{
    // The pool can outlive the placement inside a request in progress.
    worker_events events{
        .ended =
            [slots = slots_, address = one.address](worker_verdict verdict)
        {
            auto* limit = slots->admission().find_limit(address);
            if (limit != nullptr && verdict == worker_verdict::answered)
            {
                limit->note_answer();
            }
            if (limit != nullptr && verdict == worker_verdict::refused)
            {
                limit->note_refusal(base::monotonic_clock::now());
            }
        },
        .released = [slots = slots_, address = one.address]
        { slots->release(address); },
        .reserved =
            [slots = slots_, address = one.address](bool reserved)
        {
            auto* limit = slots->admission().find_limit(address);
            if (limit != nullptr)
            {
                limit->set_draining(
                    decision::limits::drain_source::exclusive_use, reserved);
            }
            if (!reserved)
            {
                slots->pump();
            }
        }};
    return std::make_shared<worker_pool>(executor_, one, std::move(events));
}

void placement::apply_drains()
{
    for (const auto& [key, record] : configuration_->by_key)
    {
        const auto* service = std::get_if<schema::service>(&record.body);
        if (service == nullptr)
        {
            continue;
        }
        for (const auto& one : service->workers)
        {
            auto* limit = slots_->admission().find_limit(one.address);
            if (limit != nullptr)
            {
                limit->set_draining(
                    decision::limits::drain_source::record,
                    drained_.contains_worker(one));
                limit->set_draining(
                    decision::limits::drain_source::vm_list,
                    vm_leaves(one.address.address));
            }
        }
    }
}

void placement::adopt_leaving_vms(std::set<std::string, std::less<>> addresses)
{
    leaving_vms_ = std::move(addresses);
    apply_drains();
}

void placement::count_configured_slots()
{
    configured_slots_.clear();
    for (const auto& [key, record] : configuration_->by_key)
    {
        const auto* service = std::get_if<schema::service>(&record.body);
        if (service == nullptr)
        {
            continue;
        }
        for (const auto& one : service->workers)
        {
            if (const auto owner = owner_of(one))
            {
                configured_slots_[std::string{*owner}][service->name] +=
                    one.slots;
            }
        }
    }
}

std::uint32_t placement::configured_slots(
    std::string_view daemon, std::string_view service) const
{
    const auto found = configured_slots_.find(daemon);
    if (found == configured_slots_.end())
    {
        return 0;
    }
    const auto slots = found->second.find(service);
    return slots == found->second.end() ? 0 : slots->second;
}

capacity placement::own_capacity(std::string_view service) const
{
    const auto now = base::monotonic_clock::now();
    const auto room = slots_->admission().count_slots(service, now);
    return {room.slots, may_dispatch() ? room.free : 0};
}

reported_room placement::room_of(
    const decision::membership::member& peer, std::string_view service) const
{
    return peer_rooms::room_of(
        peer,
        service,
        [&](std::string_view name) { return configured_slots(name, service); });
}

std::optional<peer_target> placement::choose_peer(
    std::string_view service, std::span<const base::endpoint> avoid)
{
    const bool nothing_here = own_capacity(service).slots == 0;
    const auto* chosen = peers_.choose(
        service,
        avoid,
        nothing_here || !may_dispatch(),
        *members_,
        *configuration_,
        [&](std::string_view name) { return configured_slots(name, service); });
    if (chosen == nullptr)
    {
        return std::nullopt;
    }
    log_event(
        log_level::info,
        log_channel::routing,
        "decision",
        "service",
        service,
        "chosen",
        chosen->report.name,
        "among",
        members_->members.size(),
        "why",
        "no-room-here",
        "revision",
        configuration_->revision);
    return peer_target{chosen->report.name, chosen->report.caller_address};
}

void placement::note_peer_refused(
    std::string_view peer, std::string_view service)
{
    peers_.note_refused(peer, service);
}

placed placement::hold(const base::endpoint& worker)
{
    const auto& pool = pools_.at(worker);
    log_event(
        log_level::info,
        log_channel::routing,
        "decision",
        "chosen",
        base::to_string(worker),
        "among",
        pools_.size(),
        "why",
        "own-worker-with-most-room",
        "revision",
        configuration_->revision);
    return slot_hold{pool};
}

placed placement::place(
    std::string_view service,
    bool may_pass,
    std::span<const base::endpoint> avoid)
{
    return place(
        {.service = std::string{service},
         .passed = !may_pass,
         .may_pass = may_pass,
         .avoid = {avoid.begin(), avoid.end()}});
}

placed placement::place(const place_request& request)
{
    const auto& service = request.service;
    if (configuration_->find_service(service) == nullptr)
    {
        return base::error{result_code::service_unknown, service};
    }
    // A passed request overtakes nobody who waits here.
    const auto rank =
        request.passed ? schema::priority::background : request.priority;
    const auto own = may_dispatch() ? slots_->take(service, rank, request.avoid)
                                    : std::nullopt;
    if (own)
    {
        return hold(*own);
    }
    const bool may_pass = request.may_pass && !request.passed;
    auto peer = may_pass ? choose_peer(service, request.avoid) : std::nullopt;
    if (peer)
    {
        return std::move(*peer);
    }
    const bool paused = !may_dispatch() && !ownership_.addresses.empty();
    const auto code = paused ? result_code::paused : result_code::no_room;
    log_event(
        log_level::info,
        log_channel::routing,
        "decision",
        "service",
        service,
        "chosen",
        "none",
        "why",
        base::describe(code).name,
        "passed",
        request.passed,
        "revision",
        configuration_->revision);
    return base::error{code, service};
}

// Nothing runs before the zone was asked; a request need not be refused for
// that as long as its time lasts.
asio::awaitable<void> placement::wait_for_permission(base::instant deadline)
{
    constexpr std::chrono::milliseconds step{10};
    constexpr std::chrono::seconds longest_wait{1};
    const auto give_up =
        std::min(deadline, base::monotonic_clock::now() + longest_wait);
    asio::steady_timer timer{executor_};
    while (!may_dispatch() && base::monotonic_clock::now() < give_up)
    {
        timer.expires_after(step);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<placed> placement::place_in_time(place_request request)
{
    auto now = place(request);
    const auto* refused = std::get_if<base::error>(&now);
    if (refused != nullptr && refused->code == result_code::paused &&
        !request.passed)
    {
        co_await wait_for_permission(request.deadline);
        co_return co_await place_or_queue(std::move(request));
    }
    co_return co_await queue_after(std::move(now), std::move(request));
}

asio::awaitable<placed> placement::place_or_queue(place_request request)
{
    auto now = place(request);
    co_return co_await queue_after(std::move(now), std::move(request));
}

// `now` unless it is a refusal that an own slot in time would spare.
asio::awaitable<placed> placement::queue_after(
    placed now, place_request request)
{
    const auto* refusal = std::get_if<base::error>(&now);
    const bool may_wait = refusal != nullptr && !request.passed &&
                          refusal->code == result_code::no_room &&
                          own_capacity(request.service).slots > 0;
    if (!may_wait)
    {
        co_return now;
    }
    auto own = co_await slots_->wait(
        request.service, request.priority, request.deadline);
    if (!own)
    {
        co_return placed{own.error()};
    }
    // The worker may have gone to another owner when its slot was granted;
    // nothing may be dispatched to it then.
    if (!may_dispatch() || !pools_.contains(own.value()))
    {
        slots_->release(own.value());
        co_return placed{base::error{result_code::no_room, request.service}};
    }
    co_return hold(own.value());
}

} // namespace waxwingvalve::daemon::serving
