// Command-line parsing and the command table of the operators' client.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "cli/output.hpp"

namespace waxwingvalve::cli
{

// Name, operand syntax, help text and operand limits of a command.
struct command_spec
{
    std::string_view name;
    std::string_view operands;
    std::string_view help;
    std::size_t min_operands{};
    std::size_t max_operands{};
};

// Returns all commands, in the order in which --help lists them.
std::span<const command_spec> command_specs();

// A parsed command line.
struct arguments
{
    std::string command{};
    std::vector<std::string> operands{};
    std::string settings_path{};
    output_format format{output_format::text};
    // --help or --version was handled; the program exits without running a
    // command.
    bool exit_requested{};
};

// Parses the command line; `words` excludes the program name.
// Errors: command_line_invalid.
base::result<arguments> parse_arguments(std::vector<std::string> words);

} // namespace waxwingvalve::cli
