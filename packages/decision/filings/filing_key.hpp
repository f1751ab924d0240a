// The idempotency key of a non-idempotent operation, and its prefix.
//
// Grammar of the Idempotency-Key field:
//
//   key    = [ prefix ] local
//   prefix = "wv1:" daemon ":" incarnation ":" epoch ":"
//   local  = 1*VCHAR            ; visible ASCII
//
// `incarnation` and `epoch` are decimal without leading zeros. A key has at
// most 255 bytes. Callers get the prefix with the list of entries and add a
// local part of their own. A text that begins with "wv1:" but does not fit
// the grammar is malformed and is never taken for a key without a prefix:
// every daemon must agree on which daemon remembers a key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.hpp"

namespace waxwingvalve::decision::filings
{

inline constexpr std::size_t key_bytes_limit = 255;

// Names one epoch of one start of one daemon.
struct key_prefix
{
    std::string daemon{};
    std::uint64_t incarnation{};
    std::uint64_t epoch{};

    friend bool operator==(const key_prefix&, const key_prefix&) = default;
};

// Invariant: `local` is not empty.
struct filing_key
{
    std::optional<key_prefix> prefix{};
    std::string local{};
};

// Errors: key_malformed.
base::result<filing_key> parse_filing_key(std::string_view text);

// The text before `local`, with its last colon.
std::string to_string(const key_prefix& prefix);

} // namespace waxwingvalve::decision::filings
