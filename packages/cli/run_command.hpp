// Dispatches a command that needs the table service.
#pragma once

#include <map>
#include <string>

#include "cli/command_line.hpp"
#include "cli/record_commands.hpp"
#include "cli/steering_records.hpp"
#include "cli/view_commands.hpp"
#include "net/run_blocking.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::cli
{

// Converts the result of a proposal step to command output.
inline command_result to_command_result(
    const base::result<decision::records::proposal>& outcome)
{
    if (!outcome)
    {
        return boost::outcome_v2::failure(outcome.error());
    }
    return describe(outcome.value());
}

// Proposes to retire a shift or drain that is in force.
// Errors: revision_missing; those of make_retired_record and propose.
template <store::table_service Table>
command_result retire(
    record_commands<Table>& commands,
    const std::string& kind,
    const std::string& name)
{
    using decision::records::record_key;
    const auto loaded =
        net::run_blocking(commands.store().load_configuration());
    if (!loaded)
    {
        return boost::outcome_v2::failure(loaded.error());
    }
    const auto key = record_key(kind, name);
    const auto& changes = loaded.value().value.changes;
    const auto found = changes.find(key);
    if (found == changes.end())
    {
        return base::fail(base::result_code::revision_missing, key);
    }
    BOOST_OUTCOME_TRY(
        auto text, make_retired_record(found->second.record_json));
    return to_command_result(
        net::run_blocking(commands.propose(std::move(text))));
}

template <store::table_service Table>
command_result propose_text(
    record_commands<Table>& commands, base::result<std::string> text)
{
    if (!text)
    {
        return boost::outcome_v2::failure(text.error());
    }
    return to_command_result(
        net::run_blocking(commands.propose(std::move(text).value())));
}

// Runs the command named in `given`. Errors: those of the command;
// command_line_invalid for a command that this function does not handle.
template <store::table_service Table>
command_result run_command(
    const arguments& given, record_commands<Table>& commands)
{
    const auto operand = given.operands.empty() ? "" : given.operands.front();
    if (given.command == "propose")
    {
        return propose_text(commands, schema::read_file(operand));
    }
    if (given.command == "review")
    {
        return to_command_result(net::run_blocking(commands.review(operand)));
    }
    if (given.command == "accept")
    {
        return to_command_result(net::run_blocking(commands.accept(operand)));
    }
    if (given.command == "reject")
    {
        return to_command_result(net::run_blocking(commands.reject(operand)));
    }
    if (given.command == "show")
    {
        return net::run_blocking(show(commands, operand));
    }
    if (given.command == "diff")
    {
        return net::run_blocking(diff(commands, operand));
    }
    if (given.command == "history")
    {
        return net::run_blocking(history(commands));
    }
    if (operand == "retire" && given.operands.size() == 2)
    {
        return retire(commands, given.command, given.operands.back());
    }
    if (given.command == "shift")
    {
        return propose_text(commands, make_shift_record(given.operands));
    }
    if (given.command == "drain")
    {
        return propose_text(commands, make_drain_record(given.operands));
    }
    return base::fail(base::result_code::command_line_invalid, given.command);
}

} // namespace waxwingvalve::cli
