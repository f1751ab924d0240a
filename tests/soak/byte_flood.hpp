// Connections to a daemon's ports whose bytes are no requests, or have no end.
#pragma once

#include <cstdint>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/endpoint.hpp"

namespace waxwingvalve::soak
{

enum class flood_kind : std::uint8_t
{
    noise,
    // Fields of a head.
    head,
    // Chunks of a body.
    chunks,
    // Whole requests whose answers nobody reads.
    unread,
    // No bytes at all.
    silence,
};

constexpr int flood_kinds = 5;

// The id of all requests of floods.
constexpr std::string_view flood_attempt = "flood";

// Sends to `where` until the daemon closes the connection or after some
// seconds.
boost::asio::awaitable<void> flood(
    boost::asio::io_context& loop,
    base::endpoint where,
    flood_kind kind,
    std::uint64_t seed);

} // namespace waxwingvalve::soak
