// In-memory replica of one table of a store that reports changes by version.
//
// The replica serves incremental reads as the store does: a reader passes the
// last position it has seen and gets the changes since. This lets a few daemons
// read the store and the other daemons read from them.
//
// A store that lost writes, because it came back from an older copy of itself,
// begins a new era and gives the versions after that copy out again. Versions
// are therefore compared within one era only; a new era starts with a snapshot.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace waxwingvalve::store
{

// A point in the history of a store.
struct store_position
{
    std::uint64_t era{};
    // Counts the transactions of the era; 0 before the first read.
    std::uint64_t version{};

    friend auto operator<=>(const store_position&, const store_position&) =
        default;
};

struct mirrored_row
{
    std::string key{};
    std::string value{};
    // Store version at which the row was written or deleted, in the era of the
    // mirror or answer that holds it.
    std::uint64_t version{};
    bool deleted{};
};

// Holds the current rows and the most recent deletions.
class table_mirror
{
public:
    // Deletions kept for readers that lag; the oldest are dropped first.
    static constexpr std::size_t max_deletions = 4096;

    // Applies the whole table as of `position`; ignored if older than the
    // mirror. Returns the new and changed rows, and deletions of the rows that
    // are not in the snapshot. In a new era, rows count as changed by their
    // values.
    std::vector<mirrored_row> apply_snapshot(
        std::vector<mirrored_row> rows, store_position position);

    // Applies changes up to `position` and returns those that took effect. Rows
    // that are not newer than the mirrored ones are ignored, and so are changes
    // of another era: those of a newer one need its snapshot first.
    std::vector<mirrored_row> apply_changes(
        std::vector<mirrored_row> rows, store_position position);

    // Returns the changes after `position` in version order, or nullopt if some
    // of them were dropped or the position is of another era; the reader must
    // then read rows().
    std::optional<std::vector<mirrored_row>> changes_after(
        store_position position) const;

    std::vector<mirrored_row> rows() const;
    store_position position() const { return position_; }
    bool loaded() const { return position_.version != 0; }

private:
    std::vector<mirrored_row> begin_era(
        std::vector<mirrored_row> rows, store_position position);
    std::vector<mirrored_row> missing_from(
        std::span<const mirrored_row> snapshot, std::uint64_t version) const;
    void record_deletion(const mirrored_row& row);

    std::map<std::string, mirrored_row> rows_;
    // Oldest first.
    std::vector<mirrored_row> deletions_;
    // Deletions up to this version were dropped from deletions_.
    std::uint64_t pruned_version_{0};
    store_position position_{};
};

} // namespace waxwingvalve::store
