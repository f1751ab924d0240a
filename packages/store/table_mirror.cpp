// In-memory replica of one table of a store.
#include "store/table_mirror.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace waxwingvalve::store
{

std::vector<mirrored_row> table_mirror::apply_snapshot(
    std::vector<mirrored_row> rows, store_position position)
{
    // A snapshot from a source that lags must not revert newer rows.
    if (position < position_)
    {
        return {};
    }
    if (!loaded() || position.era != position_.era)
    {
        return begin_era(std::move(rows), position);
    }
    auto changes = missing_from(rows, position.version);
    for (auto& row : rows)
    {
        const auto known = rows_.find(row.key);
        if (known == rows_.end() || known->second.version < row.version)
        {
            changes.push_back(std::move(row));
        }
    }
    return apply_changes(std::move(changes), position);
}

// Deletions of the mirrored rows that a snapshot does not hold.
std::vector<mirrored_row> table_mirror::missing_from(
    std::span<const mirrored_row> snapshot, std::uint64_t version) const
{
    std::set<std::string_view> present;
    for (const auto& row : snapshot)
    {
        present.insert(row.key);
    }
    std::vector<mirrored_row> missing;
    for (const auto& [key, row] : rows_)
    {
        if (!present.contains(key))
        {
            missing.push_back({key, {}, version, true});
        }
    }
    return missing;
}

// Replaces everything: no version of the era before can be compared.
std::vector<mirrored_row> table_mirror::begin_era(
    std::vector<mirrored_row> rows, store_position position)
{
    auto changes = missing_from(rows, position.version);
    std::map<std::string, mirrored_row> next;
    for (auto& row : rows)
    {
        const auto known = rows_.find(row.key);
        if (known == rows_.end() || known->second.value != row.value)
        {
            changes.push_back(row);
        }
        next[row.key] = std::move(row);
    }
    rows_ = std::move(next);
    deletions_.clear();
    pruned_version_ = position.version;
    position_ = position;
    return changes;
}

std::vector<mirrored_row> table_mirror::apply_changes(
    std::vector<mirrored_row> rows, store_position position)
{
    if (position.era != position_.era)
    {
        return {};
    }
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
    position_ = std::max(position_, position);
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
    store_position position) const
{
    if (position.era != position_.era || position.version < pruned_version_)
    {
        return std::nullopt;
    }
    std::vector<mirrored_row> result;
    for (const auto& [key, row] : rows_)
    {
        if (row.version > position.version)
        {
            result.push_back(row);
        }
    }
    for (const auto& row : deletions_)
    {
        if (row.version > position.version)
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
