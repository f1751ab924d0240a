// The command line of the operators' client and its table of commands.
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

struct command_form
{
    std::string_view name;
    std::string_view operands;
    std::string_view help;
    std::size_t fewest_operands{};
    std::size_t most_operands{};
};

// Every command, in the order of the help.
std::span<const command_form> command_forms();

struct arguments
{
    std::string command{};
    std::vector<std::string> operands{};
    std::string settings_path{};
    output_format format{output_format::text};
    // Help or the version was printed and nothing is left to do.
    bool answered{};
};

// `words` without the program's name. Errors: command_line_invalid.
base::result<arguments> read_arguments(std::vector<std::string> words);

} // namespace waxwingvalve::cli
