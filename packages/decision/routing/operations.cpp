#include "decision/routing/operations.hpp"

namespace waxwingvalve::decision::routing
{

matched_operation match_operation(
    const schema::service& service,
    std::string_view method,
    std::string_view path)
{
    const schema::operation* best = nullptr;
    for (const auto& operation : service.operations)
    {
        const bool matches = operation.method == method &&
                             path.starts_with(operation.path_prefix);
        const bool longer = best == nullptr || operation.path_prefix.size() >
                                                   best->path_prefix.size();
        if (matches && longer)
        {
            best = &operation;
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
    const auto deadline = best->deadline;
    return {
        best->name,
        best->idempotent,
        best->priority,
        deadline.count() != 0 ? deadline : service.deadline};
}

} // namespace waxwingvalve::decision::routing
