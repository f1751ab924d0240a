#include "decision/steering/configuration.hpp"

#include <algorithm>

namespace waxwingvalve::decision::steering
{

route_table::route_table(const std::vector<route>& routes)
{
    for (const auto& entry : routes)
    {
        by_host_[entry.host].push_back(entry);
    }
    for (auto& [host, host_routes] : by_host_)
    {
        std::ranges::stable_sort(
            host_routes,
            [](const route& a, const route& b)
            { return a.prefix.size() > b.prefix.size(); });
    }
}

const route* route_table::find(
    std::string_view host, std::string_view path) const
{
    const auto found = by_host_.find(host);
    if (found == by_host_.end())
    {
        return nullptr;
    }
    for (const auto& candidate : found->second)
    {
        if (path.starts_with(candidate.prefix))
        {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace waxwingvalve::decision::steering
