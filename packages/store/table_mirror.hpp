// In-memory replica of one table of a store that reports changes by version.
//
// The replica serves incremental reads as the store does: a reader passes the
// last version it has seen and gets the changes since. This lets a few daemons
// read the store and the other daemons read from them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace waxwingvalve::store
{

struct mirrored_row
{
    std::string key{};
    std::string value{};
    // Store version at which the row was written or deleted.
    std::uint64_t version{};
    bool deleted{};
};

// Holds the current rows and the most recent deletions.
class table_mirror
{
public:
    // Deletions kept for readers that lag; the oldest are dropped first.
    static constexpr std::size_t max_deletions = 4096;

    // Applies the whole table as of `version`; ignored if older than the
    // mirror. Returns the new and changed rows, and deletions of the rows that
    // are not in the snapshot.
    std::vector<mirrored_row> apply_snapshot(
        std::vector<mirrored_row> rows, std::uint64_t version);

    // Applies changes up to `version` and returns those that took effect. Rows
    // that are not newer than the mirrored ones are ignored.
    std::vector<mirrored_row> apply_changes(
        std::vector<mirrored_row> rows, std::uint64_t version);

    // Returns the changes after `version` in version order, or nullopt if some
    // of them were dropped; the reader must then read rows().
    std::optional<std::vector<mirrored_row>> changes_after(
        std::uint64_t version) const;

    std::vector<mirrored_row> rows() const;
    std::uint64_t version() const { return version_; }
    bool loaded() const { return version_ != 0; }

private:
    void record_deletion(const mirrored_row& row);

    std::map<std::string, mirrored_row> rows_;
    // Oldest first.
    std::vector<mirrored_row> deletions_;
    // Deletions up to this version were dropped from deletions_.
    std::uint64_t pruned_version_{0};
    std::uint64_t version_{0};
};

} // namespace waxwingvalve::store
