#include "front/request_fields.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>

#include <boost/beast/core/string.hpp>

#include "base/number.hpp"

namespace waxwingvalve::front
{
namespace
{

std::optional<double> parse_rate(std::string_view text)
{
    double rate{};
    const auto* end = text.data() + text.size();
    const auto [stop, failure] =
        std::from_chars(text.data(), end, rate, std::chars_format::fixed);
    const bool valid = failure == std::errc{} && stop == end &&
                       std::isfinite(rate) && rate >= 0;
    return valid ? std::optional{rate} : std::nullopt;
}

} // namespace

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

std::optional<std::string_view> bearer_key(
    std::span<const net::header_field> fields)
{
    constexpr std::string_view scheme = "Bearer ";
    std::optional<std::string_view> found;
    for (const auto& [name, value] : fields)
    {
        if (!boost::beast::iequals(name, authorization_field))
        {
            continue;
        }
        const std::string_view text{value};
        const bool bearer =
            boost::beast::iequals(text.substr(0, scheme.size()), scheme);
        if (found || !bearer)
        {
            return std::nullopt;
        }
        auto key = text.substr(scheme.size());
        key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
        found = key;
    }
    return found;
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

rate_limit_field parse_rate_limit(
    std::span<const net::header_field> fields, std::string_view name)
{
    rate_limit_field found;
    for (const auto& field : fields)
    {
        if (!boost::beast::iequals(field.name, name))
        {
            continue;
        }
        found.present = true;
        if (const auto rate = parse_rate(field.value))
        {
            found.requests_per_s =
                std::min(found.requests_per_s.value_or(*rate), *rate);
        }
    }
    return found;
}

} // namespace waxwingvalve::front
