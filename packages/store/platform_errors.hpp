// HTTP statuses of the platform's services and the mapping of failed calls to
// result codes, shared by the HTTP clients in this folder.
#pragma once

#include <chrono>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.hpp"
#include "base/result.hpp"
#include "net/http_client.hpp"

namespace waxwingvalve::store::detail
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

// Reads are safe to repeat, so every failure maps to `platform_unreachable`.
inline base::error read_error(const net::exchange_failure& failure)
{
    return {base::result_code::platform_unreachable, to_string(failure.reason)};
}

// A write may have taken effect if any of its bytes may have been sent; its
// failure then maps to `platform_outcome_unknown`.
inline base::error write_error(const net::exchange_failure& failure)
{
    const auto code = failure.progress == net::exchange_progress::nothing_sent
                          ? base::result_code::platform_unreachable
                          : base::result_code::platform_outcome_unknown;
    return {code, to_string(failure.reason)};
}

// The platform responded with an unexpected status.
inline auto refused_error(const net::http_response& response)
{
    return base::fail(
        base::result_code::platform_refused,
        "status " + std::to_string(response.status));
}

} // namespace waxwingvalve::store::detail
