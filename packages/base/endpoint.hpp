// An IP number and a port, as the settings, records and messages name them.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.hpp"

namespace waxwingvalve::base
{

// Invariant after parse_endpoint: `address` is an IPv4 or IPv6 number (never
// a host name) and `port` is not zero.
struct endpoint
{
    std::string address{};
    std::uint16_t port{};

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

// Reads "127.0.0.1:80" or "[::1]:80". Errors: settings_invalid.
result<endpoint> parse_endpoint(std::string_view text);

std::string to_string(const endpoint& where);

// True for an IPv4 or IPv6 number without port.
bool is_ip_number(std::string_view text);

} // namespace waxwingvalve::base
