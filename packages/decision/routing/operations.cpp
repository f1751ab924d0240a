#include "decision/routing/operations.hpp"

namespace waxwingvalve::decision::routing
{

matched_operation match_operation(
    const schema::service& service,
    std::string_view method,
    std::string_view path)
{
    const schema::operation* best = nullptr;
    for (const auto& one : service.operations)
    {
        const bool matches =
            one.method == method && path.starts_with(one.path_prefix);
        const bool longer = best == nullptr ||
                            one.path_prefix.size() > best->path_prefix.size();
        if (matches && longer)
        {
            best = &one;
        }
    }
    if (best == nullptr)
    {
        return {
            "unlisted",
            method == "GET" || method == "HEAD",
            schema::priority::interactive,
            service.deadline};
    }
    const auto own = best->deadline;
    return {
        best->name,
        best->idempotent,
        best->priority,
        own.count() != 0 ? own : service.deadline};
}

} // namespace waxwingvalve::decision::routing
