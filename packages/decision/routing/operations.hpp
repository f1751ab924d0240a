// Which operation of a service a request is.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "schema/records.hpp"

namespace waxwingvalve::decision::routing
{

struct matched_operation
{
    // Owned: a request may outlive the configuration that named it.
    std::string name{};
    bool idempotent{};
    schema::priority priority{};
    std::chrono::milliseconds deadline{};
};

// The listed operation with the longest matching path prefix. An unlisted
// request is idempotent only when it is a GET or HEAD.
matched_operation match_operation(
    const schema::service& service,
    std::string_view method,
    std::string_view path);

} // namespace waxwingvalve::decision::routing
