// Digest that tells whether two requests with one idempotency key are equal.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingvalve::decision::filings
{

// The parts of a request that are the same in each of its retries.
struct request_parts
{
    std::string_view service{};
    std::string_view method{};
    // Path and query as sent.
    std::string_view target{};
    std::string_view body{};
};

// 128-bit XXH3 hash, not collision-resistant against an attacker. A caller that
// constructs a collision only gets the answer to a request with the same key,
// which is its own.
struct request_digest
{
    std::uint64_t high{};
    std::uint64_t low{};

    friend bool operator==(const request_digest&, const request_digest&) =
        default;
};

request_digest digest_of(const request_parts& parts);

// Returns 32 hexadecimal digits.
std::string to_string(const request_digest& digest);

} // namespace waxwingvalve::decision::filings
