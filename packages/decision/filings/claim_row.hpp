// The row by which a key without a prefix is claimed in the platform's table.
//
// It is created before anything is forwarded and names the one attempt that
// may run the key. Its state changes at most once, from `claimed` to how the
// attempt ended; a row that stays `claimed` tells that this is not known.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.hpp"

namespace waxwingvalve::decision::filings
{

inline constexpr std::string_view claims_table = "filings";
// An answer above this is not kept in the row.
inline constexpr std::size_t claim_body_bytes_limit = 4096;

enum class claim_state : std::uint8_t
{
    claimed,
    done,
    refused,
    unknown,
};

struct claim_answer
{
    unsigned status{};
    std::string content_type{};
    // Printable ASCII, so that it survives JSON unchanged.
    std::string body{};
};

// Invariant: `answer` is set only when done, `reason` only when refused.
struct claim_row
{
    std::string attempt{};
    std::string digest{};
    claim_state state{};
    std::uint16_t reason{};
    std::optional<claim_answer> answer{};
};

// True when the body is small and plain enough for a row.
bool fits_claim(std::string_view body);

std::string to_json(const claim_row& row);

// Errors: platform_answer_invalid.
base::result<claim_row> parse_claim_row(std::string_view json);

} // namespace waxwingvalve::decision::filings
