// Numbers in text that comes from outside.
#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>

namespace waxwingvalve::base
{

// The decimal number that the whole of `text` is; nothing when the text holds
// anything else or the number does not fit.
template <std::integral Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number out{};
    const auto* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, out);
    if (failure != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return out;
}

} // namespace waxwingvalve::base
