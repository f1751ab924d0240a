// Which upstream workers this daemon owns, and where a request should run.
//
// Touched by the serving thread alone.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "daemon/serving/peer_rooms.hpp"
#include "daemon/serving/slot_queue.hpp"
#include "daemon/serving/worker_health.hpp"
#include "daemon/serving/worker_pool.hpp"
#include "decision/drains/drain_set.hpp"
#include "decision/membership/member_snapshot.hpp"
#include "decision/ownership/owned_workers.hpp"
#include "decision/ownership/zone_ownership.hpp"
#include "decision/records/configuration.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon::serving
{

// Free and whole capacity of one daemon for one service, in slots.
struct capacity
{
    std::uint32_t slots{};
    std::uint32_t free{};
};

// A daemon that a request is passed to.
struct peer_target
{
    std::string name{};
    base::endpoint caller_address{};
};

// A request runs on an own worker, is passed to a peer, or is refused.
using placed = std::variant<slot_hold, peer_target, base::error>;

// What placement has to know of a request.
struct place_request
{
    std::string service{};
    schema::priority priority{schema::priority::interactive};
    // A peer passed it on: it is admitted at once or refused, so that this
    // daemon's own callers come first.
    bool passed{false};
    // False once enough peers have refused it.
    bool may_pass{true};
    base::instant deadline{};
    // Workers and peers that are left out.
    std::vector<base::endpoint> avoid{};
};

using member_pointer =
    std::shared_ptr<const decision::membership::member_snapshot>;

class placement
{
public:
    placement(
        boost::asio::any_io_executor executor,
        const schema::daemon_settings& settings);
    ~placement();
    placement(const placement&) = delete;
    placement& operator=(const placement&) = delete;

    // Takes over the workers that the configuration gives to this daemon;
    // running requests keep their slots.
    void adopt(std::shared_ptr<const decision::records::configuration> next);

    // Takes a newer view of the other daemons.
    void adopt_members(member_pointer next);

    // Takes a newer set of workers that this daemon may dispatch to. Before
    // the first there is none.
    void adopt_ownership(decision::ownership::owned_workers next);

    // Version of that set, and the workers that requests run on now, whether
    // owned still or not.
    decision::ownership::serving_state ownership_state() const;
    std::vector<schema::service_room> rooms() const;

    // From here on this daemon names itself to no caller.
    void set_leaving() { leaving_ = true; }
    bool leaving() const { return leaving_; }

    // Takes the addresses of the VMs that the platform lists as leaving. The
    // list lags; a worker that it names gets no new work, an entry that it
    // names is not named to callers.
    void adopt_leaving_vms(std::set<std::string, std::less<>> addresses);
    bool vm_leaves(std::string_view address) const
    {
        return leaving_vms_.contains(address);
    }

    const decision::membership::member_snapshot& members() const
    {
        return *members_;
    }

    const decision::records::configuration& in_force() const
    {
        return *configuration_;
    }

    const std::shared_ptr<const decision::records::configuration>&
    in_force_pointer() const
    {
        return configuration_;
    }

    // At once: an own worker, else a peer, else a refusal.
    placed place(const place_request& request);
    // `may_pass` is false for a request that a peer passed on already.
    // Workers and peers at the addresses in `avoid` are left out.
    placed place(
        std::string_view service,
        bool may_pass,
        std::span<const base::endpoint> avoid = {});

    // The same, but waits for an own slot before it refuses for want of room.
    boost::asio::awaitable<placed> place_in_time(place_request request);

    // The peer refused for want of room, without running the request.
    void note_peer_refused(std::string_view peer, std::string_view service);

    const decision::drains::drain_set& drain_set() const { return drained_; }

    // Slots that this daemon owns of the service, and how many it would admit
    // now.
    capacity own_capacity(std::string_view service) const;
    // The same of a member, by its last report.
    reported_room room_of(
        const decision::membership::member& peer,
        std::string_view service) const;

private:
    using pool_pointer = std::shared_ptr<worker_pool>;

    std::optional<std::string_view> owner_of(const schema::worker& one) const;
    bool owns(const schema::worker& one) const;
    // False while the newest set of owned workers is too old, as after a
    // pause of this process.
    bool may_dispatch() const;
    void rebuild();
    void rebuild_pools();
    void apply_drains();
    void count_configured_slots();
    std::uint32_t configured_slots(
        std::string_view daemon, std::string_view service) const;
    pool_pointer make_pool(const schema::worker& one) const;
    placed hold(const base::endpoint& worker);
    boost::asio::awaitable<void> wait_for_permission(base::instant deadline);
    boost::asio::awaitable<placed> place_or_queue(place_request request);
    boost::asio::awaitable<placed> queue_after(
        placed now, place_request request);
    std::optional<peer_target> choose_peer(
        std::string_view service, std::span<const base::endpoint> avoid);

    boost::asio::any_io_executor executor_;
    const schema::daemon_settings& settings_;
    // Names of all daemons of each zone, this one included.
    std::map<std::string, std::vector<std::string>, std::less<>> zone_members_;
    member_pointer members_;
    decision::ownership::owned_workers ownership_{.may_dispatch = false};
    std::shared_ptr<const decision::records::configuration> configuration_;
    decision::drains::drain_set drained_;
    std::set<std::string, std::less<>> leaving_vms_;
    std::shared_ptr<slot_queue> slots_;
    std::shared_ptr<worker_health> health_;
    peer_rooms peers_;
    std::map<base::endpoint, pool_pointer> pools_;
    // By daemon and service, by rendezvous hashing over the settings.
    std::map<
        std::string,
        std::map<std::string, std::uint32_t, std::less<>>,
        std::less<>>
        configured_slots_;
    bool leaving_{false};
};

} // namespace waxwingvalve::daemon::serving
