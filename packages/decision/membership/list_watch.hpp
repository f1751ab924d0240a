// Which VMs the platform's list had and has no longer.
//
// The list lags: a VM that was never on it may be new, so only one that was
// listed before can be missing. A read that failed changes nothing.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/time.hpp"

namespace waxwingvalve::decision::membership
{

class list_watch
{
public:
    void on_list(const std::set<std::string>& live, base::instant now)
    {
        for (auto& [name, missing_since] : seen_)
        {
            if (!live.contains(name) && !missing_since)
            {
                missing_since = now;
            }
        }
        for (const auto& name : live)
        {
            seen_[name].reset();
        }
    }

    // Since when a VM is missing; nothing for one listed or never listed.
    std::optional<base::instant> missing_since(const std::string& name) const
    {
        const auto found = seen_.find(name);
        return found == seen_.end() ? std::nullopt : found->second;
    }

private:
    std::map<std::string, std::optional<base::instant>> seen_;
};

} // namespace waxwingvalve::decision::membership
