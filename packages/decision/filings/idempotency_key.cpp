#include "decision/filings/idempotency_key.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "base/number.hpp"

namespace waxwingvalve::decision::filings
{
namespace
{

using base::result_code;

constexpr std::string_view prefix_tag = "wv1:";

bool is_visible(char c)
{
    return c > ' ' && c <= '~';
}

auto malformed(std::string_view reason)
{
    return base::fail(result_code::key_malformed, std::string{reason});
}

// Removes and returns the text of `rest` up to its next colon.
std::optional<std::string_view> take_field(std::string_view& rest)
{
    const auto colon = rest.find(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto field = rest.substr(0, colon);
    rest.remove_prefix(colon + 1);
    return field;
}

std::optional<std::uint64_t> to_number(std::optional<std::string_view> text)
{
    // With leading zeros, an epoch would have several prefixes and a key
    // several spellings.
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
    if (!std::ranges::all_of(text, is_visible))
    {
        return malformed("characters");
    }
    if (!text.starts_with(prefix_tag))
    {
        return idempotency_key{std::nullopt, std::string{text}};
    }
    auto rest = text.substr(prefix_tag.size());
    const auto daemon = take_field(rest);
    const auto incarnation = to_number(take_field(rest));
    const auto epoch = to_number(take_field(rest));
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
        "{}{}:{}:{}:",
        prefix_tag,
        prefix.daemon,
        prefix.incarnation,
        prefix.epoch);
}

} // namespace waxwingvalve::decision::filings
