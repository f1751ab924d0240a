// Tells whether two requests under one key are the same request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingvalve::decision::filings
{

// What makes up a request, apart from fields that differ between copies.
struct request_parts
{
    std::string_view service{};
    std::string_view method{};
    // Path and query as sent.
    std::string_view target{};
    std::string_view body{};
};

// XXH3, 128 bits. Not proof against a caller who seeks a collision: such a
// caller gets back the answer to a filing of the same key, which is its own.
struct request_digest
{
    std::uint64_t high{};
    std::uint64_t low{};

    friend bool operator==(const request_digest&, const request_digest&) =
        default;
};

request_digest digest_of(const request_parts& parts);

// 32 hexadecimal digits.
std::string to_string(const request_digest& digest);

} // namespace waxwingvalve::decision::filings
