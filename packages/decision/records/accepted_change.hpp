// An accepted change of a record. The log table has one row of it for each
// revision, the records table the newest one for each key; daemons send it to
// each other.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "decision/records/step.hpp"

namespace waxwingvalve::decision::records
{

struct proposal;

// Invariant: immutable once written; `digest` is that of `record_json`.
struct accepted_change
{
    std::uint64_t revision{};
    std::string key{};
    std::string proposal_id{};
    std::string author{};
    std::string reviewer{};
    std::string closed_by{};
    std::string digest{};
    std::string record_json{};
    std::vector<step> steps{};
};

// Returns the change that an accepted proposal makes.
accepted_change to_change(const proposal& accepted);

// 128-bit XXH3 hash in hexadecimal. Detects corruption, not forgery.
std::string digest_of(std::string_view text);

std::string to_json(const accepted_change& change);

// Errors: platform_answer_invalid; snapshot_corrupt when the digest differs.
base::result<accepted_change> parse_change(std::string_view json);

} // namespace waxwingvalve::decision::records
