// The read-only record commands: show, diff and history.
#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "cli/output.hpp"
#include "cli/record_commands.hpp"

namespace waxwingvalve::cli
{

// Compares two record texts by top-level JSON member. Lines with "- " show the
// value in force, lines with "+ " the proposed value. Equal members are
// omitted.
std::string diff_records(std::string_view current, std::string_view proposed);

// Shows the record `KIND/NAME` that is in force. Errors: revision_missing;
// those of table reads.
template <store::table_service Table>
boost::asio::awaitable<command_result> show(
    record_commands<Table>& commands, std::string key)
{
    const auto loaded = co_await commands.store().load_configuration();
    if (!loaded)
    {
        co_return boost::outcome_v2::failure(loaded.error());
    }
    const auto& changes = loaded.value().value.changes;
    const auto found = changes.find(key);
    if (found == changes.end())
    {
        co_return base::fail(
            base::result_code::revision_missing,
            fmt::format(
                "no record {} was accepted; expected KIND/NAME, as `service/"
                "hire-desk`",
                key));
    }
    auto out = describe(found->second);
    out.text += found->second.record_json + '\n';
    out.json.as_object()["content"] =
        boost::json::parse(found->second.record_json);
    co_return out;
}

// Shows what accepting the proposal would change.
template <store::table_service Table>
boost::asio::awaitable<command_result> diff(
    record_commands<Table>& commands, std::string id)
{
    const auto found = co_await commands.load(std::move(id));
    if (!found)
    {
        co_return boost::outcome_v2::failure(found.error());
    }
    const auto loaded = co_await commands.store().load_configuration();
    if (!loaded)
    {
        co_return boost::outcome_v2::failure(loaded.error());
    }
    const auto& candidate = found.value().value;
    const auto& changes = loaded.value().value.changes;
    const auto before = changes.find(candidate.record_key);
    const auto lines = diff_records(
        before == changes.end() ? "{}" : before->second.record_json,
        candidate.record_json);
    auto out = describe(candidate);
    out.text += candidate.record_key + '\n' + lines;
    out.json.as_object()["diff"] = lines;
    co_return out;
}

// Lists every accepted change, oldest first.
template <store::table_service Table>
boost::asio::awaitable<command_result> history(record_commands<Table>& commands)
{
    const auto rows = co_await commands.store().table().scan(
        decision::records::log_table, "");
    if (!rows)
    {
        co_return boost::outcome_v2::failure(rows.error());
    }
    command_output out;
    boost::json::array list;
    for (const auto& row : rows.value())
    {
        const auto change = decision::records::parse_change(row.value);
        if (!change)
        {
            co_return boost::outcome_v2::failure(change.error());
        }
        if (auto checked = commands.check(change.value()); !checked)
        {
            co_return boost::outcome_v2::failure(checked.error());
        }
        auto line = describe(change.value());
        out.text += line.text;
        list.push_back(std::move(line.json));
    }
    out.json = std::move(list);
    co_return out;
}

} // namespace waxwingvalve::cli
