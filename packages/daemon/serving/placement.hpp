// Which upstream workers this daemon owns, and where a request should run.
//
// Touched by the serving thread alone.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "daemon/serving/worker_pool.hpp"
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

// A request runs on an own worker, is passed to a peer, or is refused.
using placed =
    std::variant<slot_hold, const schema::peer_settings*, base::error>;

class placement
{
public:
    placement(
        boost::asio::any_io_executor executor,
        const schema::daemon_settings& settings);

    // Takes over the workers that the configuration gives to this daemon;
    // running requests keep their slots.
    void adopt(std::shared_ptr<const decision::records::configuration> next);

    const decision::records::configuration& in_force() const
    {
        return *configuration_;
    }

    // `may_pass` is false for a request that a peer passed on already.
    placed place(std::string_view service, bool may_pass);

    // Capacity that the named daemon owns by the configuration.
    capacity own_capacity(std::string_view service) const;
    std::uint32_t slots_of(
        std::string_view daemon, const schema::service& service) const;

private:
    using pools = std::vector<std::shared_ptr<worker_pool>>;

    std::optional<std::string_view> owner_of(const schema::worker& one) const;
    const schema::peer_settings* choose_peer(const schema::service& service);

    boost::asio::any_io_executor executor_;
    const schema::daemon_settings& settings_;
    // Names of all daemons of each zone, this one included.
    std::map<std::string, std::vector<std::string>, std::less<>> zone_members_;
    std::shared_ptr<const decision::records::configuration> configuration_;
    std::map<std::string, pools, std::less<>> owned_;
    std::size_t next_peer_{0};
};

} // namespace waxwingvalve::daemon::serving
