#include "net/http_message.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

#include <fmt/format.h>

namespace waxwingvalve::net
{
namespace
{

bool same_char(char a, char b)
{
    const auto lower = [](char c)
    { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    return lower(a) == lower(b);
}

bool same_name(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, same_char);
}

std::optional<std::string> percent_decode(std::string_view text)
{
    constexpr std::size_t hex_digits = 2;
    constexpr int hex_base = 16;
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] != '%')
        {
            out += text[at] == '+' ? ' ' : text[at];
            continue;
        }
        const auto digits = text.substr(at + 1, hex_digits);
        unsigned char byte{};
        const auto* end = digits.data() + digits.size();
        const auto [stop, failure] =
            std::from_chars(digits.data(), end, byte, hex_base);
        if (digits.size() != hex_digits || failure != std::errc{} ||
            stop != end)
        {
            return std::nullopt;
        }
        out += static_cast<char>(byte);
        at += hex_digits;
    }
    return out;
}

} // namespace

std::size_t memory_of(const http_response& answer)
{
    auto bytes = answer.body.capacity() +
                 answer.fields.capacity() * sizeof(header_field);
    for (const auto& [name, value] : answer.fields)
    {
        bytes += name.capacity() + value.capacity();
    }
    return bytes;
}

std::optional<std::string_view> find_field(
    std::span<const header_field> fields, std::string_view name)
{
    for (const auto& field : fields)
    {
        if (same_name(field.name, name))
        {
            return field.value;
        }
    }
    return std::nullopt;
}

void remove_field(std::vector<header_field>& fields, std::string_view name)
{
    std::erase_if(
        fields,
        [&](const header_field& field) { return same_name(field.name, name); });
}

void set_field(
    std::vector<header_field>& fields, std::string_view name, std::string value)
{
    remove_field(fields, name);
    fields.push_back({std::string{name}, std::move(value)});
}

bool hop_by_hop(std::string_view name)
{
    constexpr std::array<std::string_view, 10> names{
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length"};
    return std::ranges::any_of(
        names, [&](std::string_view known) { return same_name(known, name); });
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> query_value(
    std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto rest = target.substr(question + 1);
    while (!rest.empty())
    {
        const auto pair = rest.substr(0, rest.find('&'));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
        {
            return percent_decode(pair.substr(equals + 1));
        }
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return std::nullopt;
}

std::string percent_encode(std::string_view text)
{
    std::string out;
    for (const char c : text)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_' ||
            c == '~')
        {
            out += c;
        }
        else
        {
            out += fmt::format("%{:02X}", byte);
        }
    }
    return out;
}

} // namespace waxwingvalve::net
