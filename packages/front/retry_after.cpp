#include "front/retry_after.hpp"

#include <algorithm>
#include <charconv>

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include "decision/steering/worker_choice.hpp"

namespace waxwingvalve::front
{
namespace
{

// Gives full workers time to work off their queues.
constexpr double base_s = 0.3;
constexpr double jitter_s = 0.4;
// Part of a longer wait over which its callers are spread.
constexpr double jitter_share = 0.25;
constexpr std::string_view field_name = "Retry-After";
// Longer times are cut to this.
constexpr double max_wait_s = 24.0 * 3'600.0;

std::optional<double> parse_seconds(std::string_view text)
{
    double seconds{};
    const auto* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, seconds);
    // Also refuses what is no number (NaN).
    if (failure != std::errc{} || stop != end || !(seconds >= 0))
    {
        return std::nullopt;
    }
    return std::min(seconds, max_wait_s);
}

} // namespace

void set_retry_after(
    net::http_response& answer,
    std::string_view attempt_id,
    base::duration wait)
{
    const std::chrono::duration<double> wait_s{wait};
    // In [0, 1).
    const double spread =
        decision::steering::hash_rank(attempt_id, "retry-after");
    net::set_field(
        answer.fields,
        field_name,
        fmt::format(
            "{:.3f}",
            wait_s.count() + base_s +
                std::max(jitter_s, jitter_share * wait_s.count()) * spread));
}

void set_exact_retry_after(net::http_response& answer, base::duration wait)
{
    const std::chrono::duration<double> wait_s{wait};
    net::set_field(
        answer.fields, field_name, fmt::format("{:.3f}", wait_s.count()));
}

std::optional<base::duration> parse_retry_after(
    std::span<const net::header_field> fields)
{
    std::optional<double> longest;
    for (const auto& [name, value] : fields)
    {
        if (!boost::beast::iequals(name, field_name))
        {
            continue;
        }
        if (const auto seconds = parse_seconds(value))
        {
            longest = std::max(longest.value_or(0), *seconds);
        }
    }
    if (!longest)
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>{*longest});
}

} // namespace waxwingvalve::front
