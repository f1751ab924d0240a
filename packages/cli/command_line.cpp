#include "cli/command_line.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

namespace waxwingvalve::cli
{
namespace
{

using base::fail;
using base::result;
using base::result_code;

constexpr std::array command_table{
    command_spec{"propose", "FILE", "stores a record for review", 1, 1},
    command_spec{
        "review", "ID", "approves the other operator's proposal", 1, 1},
    command_spec{"accept", "ID", "puts a reviewed proposal in force", 1, 1},
    command_spec{"reject", "ID", "closes a proposal", 1, 1},
    command_spec{"show", "KIND/NAME", "prints a record in force", 1, 1},
    command_spec{"diff", "ID", "what a proposal would change", 1, 1},
    command_spec{"history", "", "every accepted change, oldest first", 0, 0},
    command_spec{"status", "", "asks every daemon for its status", 0, 0},
    command_spec{
        "shift",
        "SERVICE FROM TO PERCENT | retire NAME",
        "proposes to move load between zones",
        2,
        4},
    command_spec{
        "drain",
        "worker|entry|zone TARGET | retire NAME",
        "proposes to take something out of service",
        2,
        2},
    command_spec{"check", "FILE", "checks a record or settings file", 1, 1},
};

std::string command_list()
{
    std::string out = "Writes, reviews and accepts steering records. Commands:";
    for (const auto& spec : command_table)
    {
        out += fmt::format(" {} {};", spec.name, spec.operands);
    }
    return out + " `waxwingvalve COMMAND --help` tells more.";
}

const command_spec* find_command_spec(std::string_view name)
{
    const auto* found =
        std::ranges::find(command_table, name, &command_spec::name);
    return found == command_table.end() ? nullptr : found;
}

// Finds the first word that is neither an option nor an option's value.
std::vector<std::string>::iterator find_command(std::vector<std::string>& words)
{
    constexpr std::array<std::string_view, 4> options_with_value{
        "-s", "--settings", "-o", "--output"};
    auto at = words.begin();
    while (at != words.end() && at->starts_with('-'))
    {
        const bool skip = std::ranges::find(options_with_value, *at) !=
                          options_with_value.end();
        ++at;
        if (skip && at != words.end())
        {
            ++at;
        }
    }
    return at;
}

result<arguments> parse_words(
    const command_spec* spec, std::vector<std::string> words)
{
    TCLAP::CmdLine line{
        spec != nullptr
            ? fmt::format("{} {}: {}", spec->name, spec->operands, spec->help)
            : command_list(),
        ' ',
        WAXWINGVALVE_VERSION};
    line.setExceptionHandling(false);
    const TCLAP::ValueArg<std::string> settings{
        "s", "settings", "JSON settings file", false, "", "FILE", line};
    std::vector<std::string> formats{"text", "json"};
    TCLAP::ValuesConstraint<std::string> known_formats{formats};
    const TCLAP::ValueArg<std::string> output{
        "o",
        "output",
        "form of the output",
        false,
        "text",
        &known_formats,
        line};
    const TCLAP::UnlabeledMultiArg<std::string> operands{
        "operands", "operands of the command", false, "OPERAND", line};
    arguments out;
    try
    {
        line.parse(words);
    }
    catch (const TCLAP::ExitException&)
    {
        out.exit_requested = true;
        return out;
    }
    catch (const TCLAP::ArgException& exception)
    {
        return fail(
            result_code::command_line_invalid,
            exception.error() + " " + exception.argId());
    }
    out.settings_path = settings.getValue();
    out.operands = operands.getValue();
    out.format =
        output.getValue() == "json" ? output_format::json : output_format::text;
    return out;
}

} // namespace

std::span<const command_spec> command_specs()
{
    return command_table;
}

result<arguments> parse_arguments(std::vector<std::string> words)
{
    const auto at = find_command(words);
    const std::string name = at == words.end() ? "" : *at;
    const auto* spec = find_command_spec(name);
    if (at != words.end())
    {
        words.erase(at);
    }
    if (!name.empty() && spec == nullptr)
    {
        return fail(
            result_code::command_line_invalid,
            fmt::format("unknown command \"{}\"; see --help", name));
    }
    words.insert(words.begin(), "waxwingvalve");
    BOOST_OUTCOME_TRY(auto out, parse_words(spec, std::move(words)));
    if (out.exit_requested)
    {
        return out;
    }
    if (spec == nullptr)
    {
        return fail(
            result_code::command_line_invalid, "no command; see --help");
    }
    if (out.operands.size() < spec->min_operands ||
        out.operands.size() > spec->max_operands)
    {
        return fail(
            result_code::command_line_invalid,
            fmt::format(
                "expected `waxwingvalve {} {}`", spec->name, spec->operands));
    }
    out.command = name;
    return out;
}

} // namespace waxwingvalve::cli
