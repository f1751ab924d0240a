// Which upstream workers this daemon owns, and where a request should run.
//
// Touched by the serving thread alone.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "daemon/serving/worker_pool.hpp"
#include "decision/membership/member_snapshot.hpp"
#include "decision/ownership/owned_workers.hpp"
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

using member_pointer =
    std::shared_ptr<const decision::membership::member_snapshot>;

class placement
{
public:
    placement(
        boost::asio::any_io_executor executor,
        const schema::daemon_settings& settings);

    // Takes over the workers that the configuration gives to this daemon;
    // running requests keep their slots.
    void adopt(std::shared_ptr<const decision::records::configuration> next);

    // Takes a newer view of the other daemons.
    void adopt_members(member_pointer next);

    // Takes a newer set of workers that this daemon may dispatch to. Before
    // the first, rendezvous hashing over the settings' peers decides.
    void adopt_ownership(decision::ownership::owned_workers next);

    const decision::membership::member_snapshot& members() const
    {
        return *members_;
    }

    const decision::records::configuration& in_force() const
    {
        return *configuration_;
    }

    // `may_pass` is false for a request that a peer passed on already.
    // Workers and peers at the addresses in `avoid` are left out.
    placed place(
        std::string_view service,
        bool may_pass,
        std::span<const base::endpoint> avoid = {});

    // Capacity that the named daemon owns by the configuration.
    capacity own_capacity(std::string_view service) const;
    std::uint32_t slots_of(
        std::string_view daemon, const schema::service& service) const;

private:
    using pools = std::vector<std::shared_ptr<worker_pool>>;

    std::optional<std::string_view> owner_of(const schema::worker& one) const;
    bool owns(const schema::worker& one) const;
    void rebuild_pools();
    std::optional<peer_target> choose_peer(
        const schema::service& service, std::span<const base::endpoint> avoid);

    boost::asio::any_io_executor executor_;
    const schema::daemon_settings& settings_;
    // Names of all daemons of each zone, this one included.
    std::map<std::string, std::vector<std::string>, std::less<>> zone_members_;
    member_pointer members_;
    std::optional<decision::ownership::owned_workers> ownership_;
    std::shared_ptr<const decision::records::configuration> configuration_;
    std::map<std::string, pools, std::less<>> owned_;
    std::size_t next_peer_{0};
};

} // namespace waxwingvalve::daemon::serving
