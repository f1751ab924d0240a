// One act of one operator on a proposal, and its form as JSON.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/fwd.hpp>

namespace waxwingvalve::decision::records
{

// Invariant: `operation_id` is unique; a write that carries it and whose
// answer was lost is found again by it.
struct step
{
    // "propose", "review", "accept" or "reject".
    std::string action{};
    std::string by{};
    std::string operation_id{};
    // Message authentication code by the operator's key; empty without one.
    std::string signature{};
};

boost::json::array to_json_array(const std::vector<step>& steps);

// Entries that are no steps are left out; a missing step only ever makes a
// check fail.
std::vector<step> parse_steps(const boost::json::object& in);

// The text at `key`; empty when it is no string.
std::string text_at(const boost::json::object& in, const char* key);

// The whole number at `key`; 0 when it is none.
std::uint64_t number_at(const boost::json::object& in, const char* key);

} // namespace waxwingvalve::decision::records
