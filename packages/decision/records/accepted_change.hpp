// One accepted change: the row that the log holds for each revision, that
// the table of records holds for each key, and that daemons hand on.
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

// Invariant: never changes once written; `digest` is that of `record_json`.
struct accepted_change
{
    std::uint64_t revision{};
    std::string key{};
    std::string proposal_id{};
    std::string author{};
    std::string reviewer{};
    std::string closer{};
    std::string digest{};
    std::string record_json{};
    std::vector<step> steps{};
};

// The change that an accepted proposal makes.
accepted_change to_change(const proposal& accepted);

// 128 bits of XXH3 in hexadecimal: tells texts apart, proves nothing.
std::string digest_of(std::string_view text);

std::string to_json(const accepted_change& from);

// Errors: platform_answer_invalid; snapshot_corrupt when the digest differs.
base::result<accepted_change> parse_change(std::string_view json);

} // namespace waxwingvalve::decision::records
