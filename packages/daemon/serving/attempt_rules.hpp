// Rules that every attempt follows, whatever the request is.
#pragma once

#include <cstddef>
#include <string_view>

#include "base/endpoint.hpp"
#include "daemon/serving/placement.hpp"
#include "daemon/serving/worker_pool.hpp"

namespace waxwingvalve::daemon::serving
{

// Attempts of one request whatever the budget holds.
inline constexpr std::size_t most_attempts = 3;

// Which connection the first attempt may use.
exchange_options options_for(bool idempotent);

// Where an attempt goes; `where` holds no error.
base::endpoint address_of(const placed& where);

// Logs the decision to make another attempt; `number` counts from 1.
void log_further(
    std::string_view service,
    const base::endpoint& chosen,
    std::size_t number,
    std::string_view why);

} // namespace waxwingvalve::daemon::serving
