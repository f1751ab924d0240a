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
    request_digest digest{};
    // Each part's hash seeds the next, so that moving text from one part to
    // another changes the digest.
    for (const auto part : std::array{service, method, target, body})
    {
        digest = XXH3_64bits_withSeed(part.data(), part.size(), digest);
    }
    return digest;
}

} // namespace waxwingvalve::decision::retries
