#include "front/request_fields.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

#include "base/number.hpp"

namespace waxwingvalve::front
{

std::string_view header_value(
    std::span<const net::header_field> fields, std::string_view name)
{
    return net::find_field(fields, name).value_or(std::string_view{});
}

std::string cookie_value(std::string_view cookies, std::string_view name)
{
    while (!cookies.empty())
    {
        const auto end = std::min(cookies.find(';'), cookies.size());
        auto pair = cookies.substr(0, end);
        cookies.remove_prefix(std::min(end + 1, cookies.size()));
        pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
        {
            return std::string{pair.substr(equals + 1)};
        }
    }
    return {};
}

std::string_view host_of(const net::http_request& request)
{
    auto host = header_value(request.fields, "Host");
    return host.substr(0, host.find(':'));
}

std::optional<std::chrono::milliseconds> parse_milliseconds(
    std::string_view text)
{
    // Larger ones overflow when they are added to a point in time.
    constexpr std::chrono::milliseconds most = std::chrono::hours{24};
    const auto number = base::parse_number<std::uint64_t>(text);
    if (!number)
    {
        return std::nullopt;
    }
    const auto bounded =
        std::min(*number, static_cast<std::uint64_t>(most.count()));
    return std::chrono::milliseconds{bounded};
}

std::optional<decision::steering::load_report> parse_load(std::string_view text)
{
    std::array<std::uint32_t, 3> parts{};
    for (auto& part : parts)
    {
        const auto end = std::min(text.find(','), text.size());
        const auto number =
            base::parse_number<std::uint32_t>(text.substr(0, end));
        if (!number)
        {
            return std::nullopt;
        }
        part = *number;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return decision::steering::load_report{parts[0], parts[1], parts[2]};
}

} // namespace waxwingvalve::front
