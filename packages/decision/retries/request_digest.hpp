// Digest that identifies a request by its content, independent of its sender
// and idempotency key.
#pragma once

#include <cstdint>
#include <string_view>

namespace waxwingvalve::decision::retries
{

using request_digest = std::uint64_t;

request_digest digest_of(
    std::string_view service,
    std::string_view method,
    std::string_view target,
    std::string_view body);

} // namespace waxwingvalve::decision::retries
