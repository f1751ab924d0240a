#include "base/time.hpp"

#include <charconv>

namespace waxwingvalve::base
{

std::optional<std::chrono::milliseconds> parse_time(std::string_view text)
{
    double number{};
    const auto* end = text.data() + text.size();
    const auto [unit, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc{} || !(number >= 0) || number > 1e9)
    {
        return std::nullopt;
    }
    const std::string_view name{unit, static_cast<std::size_t>(end - unit)};
    constexpr double ms_per_s = 1'000;
    if (name != "ms" && name != "s")
    {
        return std::nullopt;
    }
    const double milliseconds = name == "s" ? number * ms_per_s : number;
    return std::chrono::milliseconds{static_cast<std::int64_t>(milliseconds)};
}

} // namespace waxwingvalve::base
