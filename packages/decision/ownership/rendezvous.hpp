// Rendezvous hashing: assigns a key to one of several candidates.
//
// Daemons with the same list of candidates choose the same one, and removing
// a candidate reassigns only its own keys. See Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace waxwingvalve::decision::ownership
{

// Returns the candidate with the highest hash score for `key`, or nullopt if
// there are no candidates.
std::optional<std::string_view> rendezvous(
    std::string_view key, std::span<const std::string> candidates);

} // namespace waxwingvalve::decision::ownership
