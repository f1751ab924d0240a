// Accepts connections of callers and closes them gracefully when the daemon
// stops.
#pragma once

#include <limits>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.hpp"
#include "base/result.hpp"
#include "front/client_session.hpp"

namespace waxwingvalve::front
{

// Listens for callers and owns their sessions.
class front_server
{
public:
    explicit front_server(serving_context& context);
    ~front_server();
    front_server(const front_server&) = delete;
    front_server& operator=(const front_server&) = delete;

    // Errors: address_in_use, address_unusable.
    base::result<void> listen(const base::endpoint& listen_address);

    // Connections beyond this are refused.
    void set_max_connections(std::size_t most) { max_connections_ = most; }

    // Sends "Connection: close" with answers from now on. New connections are
    // still accepted, because some callers know only this daemon.
    void announce_close();
    // Stops accepting connections and reading requests; pending requests and
    // those on their way are still answered. To be called again until no
    // connection is left.
    void begin_shutdown();

    // Answers every request that is still running: the process is about to end.
    void end_unfinished();

    std::size_t connections() const { return sessions_.size(); }
    std::size_t open_requests() const;

private:
    void accept();
    void accept_later();
    void accept_waiting();
    void take(boost::asio::ip::tcp::socket socket);
    void begin_session(boost::asio::ip::tcp::socket socket);
    void check_connections();

    serving_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer sweep_timer_;
    boost::asio::steady_timer accept_timer_;
    std::set<std::shared_ptr<client_session>> sessions_;
    std::size_t max_connections_{std::numeric_limits<std::size_t>::max()};
    bool announce_close_{false};
};

} // namespace waxwingvalve::front
