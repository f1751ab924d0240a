#include "decision/retries/request_digest.hpp"

#include <array>

#include <xxhash.h>

namespace waxwingvalve::decision::retries
{

request_digest digest_of(
    std::string_view service,
    std::string_view method,
    std::string_view target,
    std::string_view body)
{
    request_digest out{};
    // Each part seeds the next, so that no two splits of one text are alike.
    for (const auto part : std::array{service, method, target, body})
    {
        out = XXH3_64bits_withSeed(part.data(), part.size(), out);
    }
    return out;
}

} // namespace waxwingvalve::decision::retries
