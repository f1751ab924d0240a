#include "decision/filings/idempotency_key.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "base/number.hpp"

namespace waxwingvalve::decision::filings
{
namespace
{

using base::result_code;

constexpr std::string_view scheme = "wv1:";

bool visible(char c)
{
    return c > ' ' && c <= '~';
}

auto malformed(std::string_view why)
{
    return base::fail(result_code::key_malformed, std::string{why});
}

// Cuts the text up to the next colon off `rest`.
std::optional<std::string_view> take_part(std::string_view& rest)
{
    const auto colon = rest.find(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto part = rest.substr(0, colon);
    rest.remove_prefix(colon + 1);
    return part;
}

std::optional<std::uint64_t> to_number(std::optional<std::string_view> text)
{
    // A second spelling of one number would be a second key of one epoch.
    if (!text || text->empty() || text->front() == '0')
    {
        return std::nullopt;
    }
    return base::parse_number<std::uint64_t>(*text);
}

} // namespace

base::result<idempotency_key> parse_idempotency_key(std::string_view text)
{
    if (text.empty() || text.size() > max_key_bytes)
    {
        return malformed("length");
    }
    if (!std::ranges::all_of(text, visible))
    {
        return malformed("characters");
    }
    if (!text.starts_with(scheme))
    {
        return idempotency_key{std::nullopt, std::string{text}};
    }
    auto rest = text.substr(scheme.size());
    const auto daemon = take_part(rest);
    const auto incarnation = to_number(take_part(rest));
    const auto epoch = to_number(take_part(rest));
    if (!daemon || daemon->empty() || !incarnation || !epoch || rest.empty())
    {
        return malformed("prefix");
    }
    return idempotency_key{
        key_prefix{std::string{*daemon}, *incarnation, *epoch},
        std::string{rest}};
}

std::string to_string(const key_prefix& prefix)
{
    return fmt::format(
        "{}{}:{}:{}:", scheme, prefix.daemon, prefix.incarnation, prefix.epoch);
}

} // namespace waxwingvalve::decision::filings
