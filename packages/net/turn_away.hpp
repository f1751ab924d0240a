// Ends a connection that is one too many.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "net/http_message.hpp"

namespace waxwingvalve::net
{

// Sends the refusal without waiting for the caller and closes: a flood of
// connections must not hold what the limit is there to bound.
void turn_away(
    boost::asio::ip::tcp::socket socket, const http_response& refusal);

} // namespace waxwingvalve::net
