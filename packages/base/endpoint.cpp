#include "base/endpoint.hpp"

#include <charconv>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace waxwingvalve::base
{
namespace
{

struct split_address
{
    std::string_view address;
    std::string_view port;
};

split_address split(std::string_view text)
{
    if (text.starts_with('['))
    {
        const auto close = text.find("]:");
        if (close == std::string_view::npos)
        {
            return {};
        }
        return {text.substr(1, close - 1), text.substr(close + 2)};
    }
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return {};
    }
    return {text.substr(0, colon), text.substr(colon + 1)};
}

} // namespace

bool is_ip_number(std::string_view text)
{
    const std::string copy{text};
    in6_addr scratch{};
    return inet_pton(AF_INET, copy.c_str(), &scratch) == 1 ||
           inet_pton(AF_INET6, copy.c_str(), &scratch) == 1;
}

result<endpoint> parse_endpoint(std::string_view text)
{
    const auto [address, port_text] = split(text);
    std::uint16_t port{};
    const auto* end = port_text.data() + port_text.size();
    const auto [stop, failure] = std::from_chars(port_text.data(), end, port);
    const bool port_read =
        !port_text.empty() && failure == std::errc{} && stop == end;
    if (!port_read || port == 0 || !is_ip_number(address))
    {
        return fail(
            result_code::settings_invalid,
            fmt::format(
                "expected IP number and port like 127.0.0.1:80, found \"{}\"",
                text));
    }
    return endpoint{std::string{address}, port};
}

std::string to_string(const endpoint& where)
{
    if (where.address.find(':') != std::string::npos)
    {
        return fmt::format("[{}]:{}", where.address, where.port);
    }
    return fmt::format("{}:{}", where.address, where.port);
}

} // namespace waxwingvalve::base
