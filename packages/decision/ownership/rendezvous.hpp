// Rendezvous hashing: which of several candidates should hold a key.
//
// Every daemon that sees the same candidates names the same one, and when a
// candidate goes only its own keys move. See Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace waxwingvalve::decision::ownership
{

// The candidate with the highest score for `key`; nothing without candidates.
std::optional<std::string_view> rendezvous(
    std::string_view key, std::span<const std::string> candidates);

} // namespace waxwingvalve::decision::ownership
