#include "cli/record_commands.hpp"

namespace waxwingvalve::cli
{

using namespace decision::records;

std::string generate_id(std::string_view prefix)
{
    std::random_device source;
    return fmt::format("{}-{:08x}{:08x}", prefix, source(), source());
}

store::row_write make_row_write(
    std::string_view table, std::string_view key, std::string value)
{
    return {std::string{table}, std::string{key}, std::move(value)};
}

store::transaction make_accept_transaction(
    const proposal& accepted,
    std::uint64_t proposal_version,
    const stored_configuration& current)
{
    const auto change = to_json(to_change(accepted));
    const auto log_row = log_key(accepted.accepted_as);
    store::transaction change_set;
    change_set.conditions = {
        {std::string{proposals_table}, accepted.id, proposal_version},
        {std::string{head_table}, std::string{head_key}, current.head_version},
        {std::string{records_table},
         accepted.record_key,
         accepted.based_on_record},
        {std::string{log_table}, log_row, 0}};
    change_set.writes = {
        make_row_write(proposals_table, accepted.id, to_json(accepted)),
        make_row_write(records_table, accepted.record_key, change),
        make_row_write(log_table, log_row, change),
        make_row_write(
            head_table, head_key, std::to_string(accepted.accepted_as))};
    return change_set;
}

base::result<void> check_not_outdated(
    const proposal& candidate, const stored_configuration& current)
{
    const auto row = current.row_versions.find(candidate.record_key);
    const auto version = row == current.row_versions.end() ? 0 : row->second;
    if (version == candidate.based_on_record)
    {
        return base::success();
    }
    std::string accepted_change_text = "another change";
    if (const auto found = current.value.changes.find(candidate.record_key);
        found != current.value.changes.end())
    {
        accepted_change_text = fmt::format(
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
            candidate.record_key,
            accepted_change_text,
            candidate.id));
}

} // namespace waxwingvalve::cli
