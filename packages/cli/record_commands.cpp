#include "cli/record_commands.hpp"

namespace waxwingvalve::cli
{

using namespace decision::records;

std::string new_id(std::string_view prefix)
{
    std::random_device source;
    return fmt::format("{}-{:08x}{:08x}", prefix, source(), source());
}

store::row_write write_row(
    std::string_view table, std::string_view key, std::string value)
{
    return {std::string{table}, std::string{key}, std::move(value)};
}

store::transaction accept_transaction(
    const proposal& accepted,
    std::uint64_t proposal_version,
    const stored_configuration& in_force)
{
    const auto change = to_json(to_change(accepted));
    const auto log_row = log_key(accepted.accepted_as);
    store::transaction out;
    out.conditions = {
        {std::string{proposals_table}, accepted.id, proposal_version},
        {std::string{head_table}, std::string{head_key}, in_force.head_version},
        {std::string{records_table},
         accepted.record_key,
         accepted.based_on_record},
        {std::string{log_table}, log_row, 0}};
    out.writes = {
        write_row(proposals_table, accepted.id, to_json(accepted)),
        write_row(records_table, accepted.record_key, change),
        write_row(log_table, log_row, change),
        write_row(head_table, head_key, std::to_string(accepted.accepted_as))};
    return out;
}

base::result<void> check_not_outdated(
    const proposal& one, const stored_configuration& in_force)
{
    const auto row = in_force.row_versions.find(one.record_key);
    const auto version = row == in_force.row_versions.end() ? 0 : row->second;
    if (version == one.based_on_record)
    {
        return base::success();
    }
    std::string winner = "another change";
    if (const auto found = in_force.value.changes.find(one.record_key);
        found != in_force.value.changes.end())
    {
        winner = fmt::format(
            "{} by {} as revision {}",
            found->second.proposal_id,
            found->second.closed_by,
            found->second.revision);
    }
    return base::fail(
        base::result_code::proposal_outdated,
        fmt::format(
            "{}: {} was accepted first; see `waxwingvalve diff {}`, then "
            "propose the record anew",
            one.record_key,
            winner,
            one.id));
}

} // namespace waxwingvalve::cli
