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

constexpr std::array forms{
    command_form{"propose", "FILE", "stores a record for review", 1, 1},
    command_form{"review", "ID", "approves the other's proposal", 1, 1},
    command_form{"accept", "ID", "puts a reviewed proposal in force", 1, 1},
    command_form{"reject", "ID", "closes a proposal", 1, 1},
    command_form{"show", "KIND/NAME", "prints a record in force", 1, 1},
    command_form{"diff", "ID", "what a proposal would change", 1, 1},
    command_form{"history", "", "every accepted change, oldest first", 0, 0},
    command_form{"status", "", "asks every daemon for its status", 0, 0},
    command_form{
        "shift",
        "SERVICE FROM TO PERCENT | retire NAME",
        "proposes to move load between zones",
        2,
        4},
    command_form{
        "drain",
        "worker|entry|zone TARGET | retire NAME",
        "proposes to take something out of service",
        2,
        2},
    command_form{"check", "FILE", "checks a record or settings file", 1, 1},
};

std::string command_list()
{
    std::string out = "Writes, reviews and accepts steering records. Commands:";
    for (const auto& form : forms)
    {
        out += fmt::format(" {} {};", form.name, form.operands);
    }
    return out + " `waxwingvalve COMMAND --help` tells more.";
}

const command_form* find_form(std::string_view name)
{
    const auto* found = std::ranges::find(forms, name, &command_form::name);
    return found == forms.end() ? nullptr : found;
}

// The first word that is neither an option nor an option's value.
std::vector<std::string>::iterator find_command(std::vector<std::string>& words)
{
    constexpr std::array<std::string_view, 4> with_value{
        "-s", "--settings", "-o", "--output"};
    auto at = words.begin();
    while (at != words.end() && at->starts_with('-'))
    {
        const bool skip =
            std::ranges::find(with_value, *at) != with_value.end();
        ++at;
        if (skip && at != words.end())
        {
            ++at;
        }
    }
    return at;
}

result<arguments> parse_words(
    const command_form* form, std::vector<std::string> words)
{
    TCLAP::CmdLine line{
        form != nullptr
            ? fmt::format("{} {}: {}", form->name, form->operands, form->help)
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
        "operands", "what to do it to", false, "OPERAND", line};
    arguments out;
    try
    {
        line.parse(words);
    }
    catch (const TCLAP::ExitException&)
    {
        out.answered = true;
        return out;
    }
    catch (const TCLAP::ArgException& wrong)
    {
        return fail(
            result_code::command_line_invalid,
            wrong.error() + " " + wrong.argId());
    }
    out.settings_path = settings.getValue();
    out.operands = operands.getValue();
    out.format =
        output.getValue() == "json" ? output_format::json : output_format::text;
    return out;
}

} // namespace

std::span<const command_form> command_forms()
{
    return forms;
}

result<arguments> read_arguments(std::vector<std::string> words)
{
    const auto at = find_command(words);
    const std::string name = at == words.end() ? "" : *at;
    const auto* form = find_form(name);
    if (at != words.end())
    {
        words.erase(at);
    }
    if (!name.empty() && form == nullptr)
    {
        return fail(
            result_code::command_line_invalid,
            fmt::format("unknown command \"{}\"; see --help", name));
    }
    words.insert(words.begin(), "waxwingvalve");
    BOOST_OUTCOME_TRY(auto out, parse_words(form, std::move(words)));
    if (out.answered)
    {
        return out;
    }
    if (form == nullptr)
    {
        return fail(
            result_code::command_line_invalid, "no command; see --help");
    }
    if (out.operands.size() < form->fewest_operands ||
        out.operands.size() > form->most_operands)
    {
        return fail(
            result_code::command_line_invalid,
            fmt::format(
                "expected `waxwingvalve {} {}`", form->name, form->operands));
    }
    out.command = name;
    return out;
}

} // namespace waxwingvalve::cli
