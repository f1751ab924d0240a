// Matches requests to the operations of a service.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "schema/records.hpp"

namespace waxwingvalve::decision::routing
{

// Properties of the operation that a request matched.
struct matched_operation
{
    // A copy, as a request may outlive the configuration it was matched in.
    std::string name{};
    bool idempotent{};
    schema::priority priority{};
    std::chrono::milliseconds deadline{};
};

// Returns the operation with the longest matching path prefix. A request that
// matches none counts as idempotent only if it is a GET or HEAD.
matched_operation match_operation(
    const schema::service& service,
    std::string_view method,
    std::string_view path);

} // namespace waxwingvalve::decision::routing
