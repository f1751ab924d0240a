// An operator's action on a proposal, and its JSON representation.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/fwd.hpp>

namespace waxwingvalve::decision::records
{

// Invariant: `operation_id` is unique. It tells whether a write took effect if
// its answer was lost.
struct step
{
    // "propose", "review", "accept" or "reject".
    std::string action{};
    std::string by{};
    std::string operation_id{};
    // Message authentication code made with the operator's key; empty if there
    // is no key.
    std::string signature{};
};

boost::json::array to_json_array(const std::vector<step>& steps);

// Parses the array "steps". Entries that are not objects are skipped: a missing
// step can only make a signature check fail.
std::vector<step> parse_steps(const boost::json::object& object);

// Returns the string at `key`, or an empty string if there is none.
std::string text_at(const boost::json::object& object, const char* key);

// Returns the positive integer at `key`, or 0 if there is none.
std::uint64_t number_at(const boost::json::object& object, const char* key);

} // namespace waxwingvalve::decision::records
