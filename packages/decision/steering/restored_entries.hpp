// Decides which worker entries of a restored store to believe.
//
// A store that comes back from an older copy of itself lists workers as they
// were: some have ended since, some have started again or drain. What this
// daemon learned later stays in force until the worker reports again, or until
// the entry has outlived the time after which the store drops silent workers.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "decision/steering/worker_table.hpp"

namespace waxwingvalve::decision::steering
{

class restored_entries
{
public:
    // How long a removed worker is remembered. Longer than any copy is old.
    static constexpr base::duration memory_time{std::chrono::minutes{2}};

    // `entry_lifetime` is the time after which the store drops the entry of a
    // worker that is silent.
    explicit restored_entries(base::duration entry_lifetime)
        : entry_lifetime_{entry_lifetime}
    {
    }

    // Remembers the last entry of a worker that was removed.
    void record_removed(const worker_entry& entry, base::instant now);

    // Returns true if the entry, which a restored store lists, is held back:
    // it says nothing newer than `known`, the entry in force, or than the last
    // one of a worker that was removed. `known` is null if none is in force.
    bool hold_back(
        const worker_entry& listed,
        const worker_entry* known,
        base::instant now);

    // Lets the held-back entries wait for their whole lifetime again: the store
    // was away, so that their workers could not report.
    void store_returned(base::instant now);

    // Forgets the held-back entry of a worker whose row has changed since.
    void row_changed(const std::string& id) { held_back_.erase(id); }

    // Returns the held-back entries that outlived `entry_lifetime` at the time
    // up to which the store's entries are known: it still lists them, so their
    // workers report.
    std::vector<worker_entry> take_outlived(base::instant as_of);

private:
    struct remembered_entry
    {
        worker_entry entry{};
        base::instant since{};
    };

    base::duration entry_lifetime_;
    std::map<std::string, remembered_entry> removed_;
    std::map<std::string, remembered_entry> held_back_;
};

} // namespace waxwingvalve::decision::steering
