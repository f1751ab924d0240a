// Opens the sockets at which the process listens, and waits for addresses that
// are held for a while by other sockets.
//
// A predecessor that still drains, or an outgoing connection of any process
// from the same port, holds an address for seconds. Ending the process then
// ends it again at each restart, so it stays and tries until the address is
// free.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.hpp"
#include "base/result.hpp"
#include "base/time.hpp"

namespace waxwingvalve::net
{

// Connections that wait to be accepted, at most.
constexpr int listen_backlog = 1024;

// After a failed accept, as without free descriptors, the connection stays in
// the queue and the next attempt would fail at once: it is made this much
// later.
constexpr std::chrono::milliseconds accept_pause{100};

// Binds the acceptor to the address and listens. The acceptor is closed after
// a failure. Errors: address_in_use, address_unusable, sockets_exhausted.
base::result<void> open_listener(
    boost::asio::ip::tcp::acceptor& acceptor, const base::endpoint& where);

// Binds the socket to the address. Errors as above.
base::result<void> open_listener(
    boost::asio::ip::udp::socket& socket, const base::endpoint& where);

// Something to open at the start, and what it is for, as the log names it.
struct listening_step
{
    std::string purpose{};
    // Opens it, or fails as open_listener() does.
    std::function<base::result<void>()> open{};
};

// Opens what a daemon listens at, and tries again what is held or for which
// there are no descriptors or memory yet.
class listening_steps
{
public:
    // Time between two attempts.
    static constexpr std::chrono::milliseconds retry_interval{100};
    // Time between two log lines on addresses that are still held.
    static constexpr std::chrono::seconds report_interval{5};

    explicit listening_steps(boost::asio::io_context& loop) : timer_{loop} {}

    // Tries every step once; those whose address is held are tried again until
    // they succeed or stop() is called. Errors: address_unusable, of the first
    // such step.
    base::result<void> start(std::vector<listening_step> steps);

    // Gives up what is still held.
    void stop();

    // True once every step has succeeded.
    bool complete() const { return started_ && held_.empty(); }

private:
    struct held_step
    {
        listening_step step{};
        base::instant since{};
        base::instant reported_at{};
    };

    void schedule();
    void try_again();
    // Returns true if the step is open now.
    bool open_held(held_step& held, base::instant now);

    boost::asio::steady_timer timer_;
    std::vector<held_step> held_;
    bool started_{false};
};

} // namespace waxwingvalve::net
