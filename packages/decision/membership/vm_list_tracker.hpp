// Tracks which VMs have disappeared from the platform's VM list.
//
// The list lags behind: a VM that was never listed may be new, so only a VM
// that was listed before counts as missing. After a failed read of the list
// the caller makes no update.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/time.hpp"

namespace waxwingvalve::decision::membership
{

class vm_list_tracker
{
public:
    // Compares the names of `live`, the list read at `now`, with those of
    // earlier reads.
    void update_vm_list(const std::set<std::string>& live, base::instant now)
    {
        for (auto& [name, missing_since] : missing_since_)
        {
            if (!live.contains(name) && !missing_since)
            {
                missing_since = now;
            }
        }
        for (const auto& name : live)
        {
            missing_since_[name].reset();
        }
    }

    // Returns when the VM was first found missing, or nullopt if it is listed
    // or has never been listed.
    std::optional<base::instant> missing_since(const std::string& name) const
    {
        const auto found = missing_since_.find(name);
        return found == missing_since_.end() ? std::nullopt : found->second;
    }

private:
    // By name, for every VM ever listed; the time is set while it is missing.
    std::map<std::string, std::optional<base::instant>> missing_since_;
};

} // namespace waxwingvalve::decision::membership
