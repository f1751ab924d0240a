// Command output, as text for operators or JSON for programs.
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

// Output of a successful command, in both formats.
struct command_output
{
    // `text` and `json` hold the same information; `text` ends with a newline.
    std::string text{};
    boost::json::value json{};
    // Hint for the operator's next action; may be empty.
    std::string next_step{};
};

using command_result = base::result<command_output>;

// Formats a proposal's id and state and the operator's next step.
command_output describe(const decision::records::proposal& described_proposal);

// Formats an accepted change as one line with its revision, record, operators
// and digest.
command_output describe(const decision::records::accepted_change& change);

// Prints the output to stdout; prints the next step (text format only) and
// errors to stderr. Returns 0, or the exit status of the error's result code.
int print(const command_result& outcome, output_format format);

} // namespace waxwingvalve::cli
