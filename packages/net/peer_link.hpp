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

    // `receive` is called on the io_context, once for each message.
    peer_link(boost::asio::io_context& context, receive_function receive);
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

    void wait_for_messages();
    void receive_waiting();

    boost::asio::posix::stream_descriptor readable_;
    receive_function receive_;
    std::uint32_t listener_{};
    std::map<base::endpoint, std::unique_ptr<sender>> senders_;
};

} // namespace waxwingvalve::net
