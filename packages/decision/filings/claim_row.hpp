// Row that claims an idempotency key without a prefix in the platform's table.
//
// The row is created before the request is forwarded and names the only
// attempt that may run the request. Its state changes at most once, from
// `claimed` to the attempt's outcome; while it is `claimed`, the outcome is
// unknown.
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
// A longer body is not stored in the row.
inline constexpr std::size_t max_claim_body_bytes = 4096;

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
    // ASCII accepted by fits_claim_row(), which JSON carries unchanged.
    std::string body{};
};

// Invariant: `answer` is set only in state `done`, `reason` (a result code)
// only in state `refused`.
struct claim_row
{
    std::string attempt{};
    std::string digest{};
    claim_state state{};
    std::uint16_t reason{};
    std::optional<claim_answer> answer{};
};

// Whether the body has at most max_claim_body_bytes and contains only printable
// ASCII, spaces, tabs, CR and LF.
bool fits_claim_row(std::string_view body);

std::string to_json(const claim_row& row);

// Errors: platform_answer_invalid.
base::result<claim_row> parse_claim_row(std::string_view json);

} // namespace waxwingvalve::decision::filings
