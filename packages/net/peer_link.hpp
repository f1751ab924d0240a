// Control messages between daemons over TCP, by nng.
//
// Each daemon listens with one PULL socket and dials one PUSH socket for
// each peer that it sends to. Nothing here waits: what a bounded queue cannot
// take is dropped, and the state machines above send it again. nng does not
// notice a connection that went silent, so the owner of this calls reset()
// for a peer that stops answering. Requests of callers never travel here:
// nng may hold a message through a reconnect and deliver it late.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include "base/endpoint.hpp"
#include "base/result.hpp"
#include "base/time.hpp"

namespace waxwingvalve::net
{

class peer_link
{
public:
    using receive_function = std::function<void(std::span<const std::uint8_t>)>;
    using lost_function = std::function<void(const base::endpoint&)>;

    // Both are called on the io_context: `receive` for each message, `lost`
    // when a connection to a peer ended, which says nothing of why.
    peer_link(
        boost::asio::io_context& context,
        receive_function receive,
        lost_function lost);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    // Errors: address_in_use.
    base::result<void> listen(const base::endpoint& where);

    // False when the message was dropped.
    bool send(const base::endpoint& to, std::span<const std::uint8_t> bytes);
    // The next message to this peer goes over a new connection.
    void reset(const base::endpoint& to);
    // Ends connections that nothing was sent over since `before`.
    void close_unused(base::instant before);
    std::size_t connections() const { return senders_.size(); }

private:
    class sender;
    struct lost_notice;

    void wait_for_messages();
    void receive_waiting();

    boost::asio::posix::stream_descriptor readable_;
    receive_function receive_;
    boost::asio::io_context& context_;
    std::shared_ptr<lost_function> lost_;
    std::uint32_t listener_{};
    // nng calls with these from its threads; kept until all sockets ended.
    std::map<base::endpoint, std::unique_ptr<lost_notice>> notices_;
    std::map<base::endpoint, std::unique_ptr<sender>> senders_;
};

} // namespace waxwingvalve::net
