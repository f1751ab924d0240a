// Exchanges heartbeats with other daemons over UDP. Lost datagrams are not
// resent; the next heartbeat carries the current state.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.hpp"
#include "base/result.hpp"
#include "front/fleet_view.hpp"
#include "schema/fleet.hpp"
#include "schema/quota.hpp"

namespace waxwingvalve::front
{

// Sends periodic heartbeats and applies those received to the fleet view.
class peer_heartbeats
{
public:
    static constexpr std::chrono::milliseconds period{500};

    peer_heartbeats(boost::asio::io_context& loop, fleet_view& view);

    // Opens the address; nothing is received yet. Errors: address_in_use,
    // address_unusable.
    base::result<void> listen(const base::endpoint& listen_address);

    // Starts to send and receive. Other daemons then name this one to callers.
    void start();

    // Called with each message about quotas that comes to the same address.
    void on_quota_message(
        std::function<void(
            const schema::quota_message&, const base::endpoint& from)> handler)
    {
        quota_handler_ = std::move(handler);
    }
    // Called at each round of heartbeats, after the list of daemons was
    // refreshed.
    void on_round(std::function<void()> handler)
    {
        round_handler_ = std::move(handler);
    }
    // Sends a datagram. One that can't be sent is lost.
    void send_to(const base::endpoint& to, std::span<const std::uint8_t> bytes);

    // Sends one round of heartbeats immediately.
    void send_round();

    // Tells all daemons that these workers are cold: those of the own zone
    // directly, those of other zones by a few that pass it on.
    void tell_cold_workers(std::span<const schema::cold_worker> workers);

private:
    void send(const steering::fleet_members::message& message);
    void receive();
    void handle_datagram(std::size_t size);
    void handle_quota_message(std::span<const std::uint8_t> bytes);
    void log_refused(const base::error& reason) const;
    void handle_cold_workers(const schema::fleet_beat& beat, base::instant now);
    void handle_crash_news(const schema::fleet_beat& beat, base::instant now);
    void schedule();

    fleet_view& view_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::asio::ip::udp::endpoint sender_;
    std::function<void(const schema::quota_message&, const base::endpoint&)>
        quota_handler_{[](const auto&, const auto&) {}};
    std::function<void()> round_handler_{[] {}};
    std::array<std::uint8_t, 8 * 1024> datagram_{};
};

} // namespace waxwingvalve::front
