// In-memory replica of one table of a store.
#include "store/table_mirror.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace waxwingvalve::store
{

std::vector<mirrored_row> table_mirror::apply_snapshot(
    std::vector<mirrored_row> rows, std::uint64_t version)
{
    if (!loaded())
    {
        pruned_version_ = version;
    }
    // A snapshot from a source that lags must not revert newer rows.
    if (version < version_)
    {
        return {};
    }
    std::vector<mirrored_row> changes;
    std::set<std::string> present;
    for (const auto& row : rows)
    {
        present.insert(row.key);
    }
    for (const auto& [key, row] : rows_)
    {
        if (!present.contains(key))
        {
            changes.push_back({key, {}, version, true});
        }
    }
    for (auto& row : rows)
    {
        const auto known = rows_.find(row.key);
        if (known == rows_.end() || known->second.version < row.version)
        {
            changes.push_back(std::move(row));
        }
    }
    return apply_changes(std::move(changes), version);
}

std::vector<mirrored_row> table_mirror::apply_changes(
    std::vector<mirrored_row> rows, std::uint64_t version)
{
    std::vector<mirrored_row> changes;
    for (auto& row : rows)
    {
        const auto known = rows_.find(row.key);
        const bool is_known = known != rows_.end();
        if (is_known && known->second.version >= row.version)
        {
            continue;
        }
        if (!row.deleted)
        {
            rows_[row.key] = row;
            changes.push_back(std::move(row));
            continue;
        }
        record_deletion(row);
        if (is_known)
        {
            rows_.erase(known);
            changes.push_back(std::move(row));
        }
    }
    version_ = std::max(version_, version);
    return changes;
}

void table_mirror::record_deletion(const mirrored_row& row)
{
    deletions_.push_back({row.key, {}, row.version, true});
    if (deletions_.size() > max_deletions)
    {
        pruned_version_ = deletions_.front().version;
        deletions_.erase(deletions_.begin());
    }
}

std::optional<std::vector<mirrored_row>> table_mirror::changes_after(
    std::uint64_t version) const
{
    if (version < pruned_version_)
    {
        return std::nullopt;
    }
    std::vector<mirrored_row> result;
    for (const auto& [key, row] : rows_)
    {
        if (row.version > version)
        {
            result.push_back(row);
        }
    }
    for (const auto& row : deletions_)
    {
        if (row.version > version)
        {
            result.push_back(row);
        }
    }
    std::ranges::stable_sort(result, {}, &mirrored_row::version);
    return result;
}

std::vector<mirrored_row> table_mirror::rows() const
{
    std::vector<mirrored_row> result;
    for (const auto& [key, row] : rows_)
    {
        result.push_back(row);
    }
    return result;
}

} // namespace waxwingvalve::store
