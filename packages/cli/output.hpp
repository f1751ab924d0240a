// What a command prints: one value, as text for people or JSON for programs.
#pragma once

#include <cstdint>
#include <string>

#include <boost/json/value.hpp>

#include "base/result.hpp"
#include "decision/records/accepted_change.hpp"
#include "decision/records/proposal.hpp"

namespace waxwingvalve::cli
{

enum class output_format : std::uint8_t
{
    text,
    json,
};

struct command_output
{
    // Both hold the same; `text` ends with a line feed.
    std::string text{};
    boost::json::value json{};
    // What the operator does next; may be empty.
    std::string next{};
};

using command_result = base::result<command_output>;

// The state of a proposal after a step on it.
command_output describe(const decision::records::proposal& one);

// A line for an accepted change: who proposed, reviewed and accepted what.
command_output describe(const decision::records::accepted_change& one);

// Prints to standard output, the next step and errors to standard error.
// Returns the exit status of the table of result codes.
int print(const command_result& done, output_format format);

} // namespace waxwingvalve::cli
