// A TCP relay that stands in for a network path: one listening address, one
// target, and the faults of the path between them.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/endpoint.hpp"
#include "base/result.hpp"

namespace waxwingvalve::stand_ins
{

struct link_faults
{
    // One-way delay, and how much more there is at random.
    std::int64_t delay_us{0};
    std::int64_t jitter_us{0};
    // Rate of each direction of each connection; 0 without a limit.
    std::int64_t bytes_per_s{0};
    // Closes each connection after so many bytes from the target; 0 never.
    std::int64_t cut_after_bytes{0};
    // New connections are accepted and nothing on them is forwarded.
    bool silence{false};
};

class relay
{
public:
    relay(
        boost::asio::io_context& context,
        base::endpoint listen,
        base::endpoint target,
        std::uint64_t seed);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    // Errors: address_in_use.
    base::result<void> start();

    link_faults& faults() { return faults_; }

    // The connections of now accept bytes for ever and forward nothing.
    void silence_existing();
    // Closes all connections and refuses new ones, until start().
    void cut();

    std::size_t connections() const { return sessions_.size(); }

private:
    class session;

    boost::asio::awaitable<void> accept_loop();
    std::chrono::microseconds next_delay();
    std::chrono::microseconds sending_time(std::size_t bytes) const;

    boost::asio::io_context& context_;
    base::endpoint listen_;
    base::endpoint target_;
    std::mt19937_64 random_;
    link_faults faults_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<session>> sessions_;
};

} // namespace waxwingvalve::stand_ins
