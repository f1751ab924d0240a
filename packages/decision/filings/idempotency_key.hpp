// Parser for the Idempotency-Key of a non-idempotent operation.
//
// Grammar of the Idempotency-Key field:
//
//   key    = [ prefix ] local
//   prefix = "wv1:" daemon ":" incarnation ":" epoch ":"
//   local  = 1*VCHAR            ; visible ASCII
//
// `incarnation` and `epoch` are decimal without leading zeros. A key has at
// most 255 bytes. Callers get the prefix with the list of entries and append
// a local part. A text that begins with "wv1:" but does not match the grammar
// is rejected rather than treated as a key without a prefix: all daemons must
// agree on which daemon stores a key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.hpp"

namespace waxwingvalve::decision::filings
{

inline constexpr std::size_t max_key_bytes = 255;

// Identifies an epoch of one incarnation (process start) of a daemon.
struct key_prefix
{
    std::string daemon{};
    std::uint64_t incarnation{};
    std::uint64_t epoch{};

    friend bool operator==(const key_prefix&, const key_prefix&) = default;
};

// Invariant: `local` is not empty.
struct idempotency_key
{
    std::optional<key_prefix> prefix{};
    std::string local{};
};

// Errors: key_malformed.
base::result<idempotency_key> parse_idempotency_key(std::string_view text);

// Returns the text before `local`, including the trailing colon.
std::string to_string(const key_prefix& prefix);

} // namespace waxwingvalve::decision::filings
