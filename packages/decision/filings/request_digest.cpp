#include "decision/filings/request_digest.hpp"

#include <fmt/format.h>
#include <xxhash.h>

namespace waxwingvalve::decision::filings
{

request_digest digest_of(const request_parts& parts)
{
    // The lengths distinguish ("ab", "c") from ("a", "bc").
    auto text = fmt::format(
        "{}:{}:{}:{}:",
        parts.service.size(),
        parts.method.size(),
        parts.target.size(),
        parts.body.size());
    text += parts.service;
    text += parts.method;
    text += parts.target;
    text += parts.body;
    const auto hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

std::string to_string(const request_digest& digest)
{
    return fmt::format("{:016x}{:016x}", digest.high, digest.low);
}

} // namespace waxwingvalve::decision::filings
