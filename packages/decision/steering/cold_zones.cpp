#include "decision/steering/cold_zones.hpp"

namespace waxwingvalve::decision::steering
{

void cold_zones::record(
    std::string_view zone, base::instant until, base::instant now)
{
    auto found = latest_.find(zone);
    if (found == latest_.end())
    {
        found = latest_.emplace(std::string{zone}, event{}).first;
    }
    auto& latest = found->second;
    if (until > latest.until + same_event)
    {
        latest = {now, until};
    }
}

std::optional<base::instant> cold_zones::cold_since(
    std::string_view zone, base::instant now) const
{
    const auto found = latest_.find(zone);
    if (found == latest_.end() || now >= found->second.until)
    {
        return std::nullopt;
    }
    return found->second.known_since;
}

} // namespace waxwingvalve::decision::steering
