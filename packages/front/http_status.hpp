// The HTTP statuses that the serving path judges (RFC 9110, section 15).
#pragma once

namespace waxwingvalve::front
{

inline constexpr unsigned status_success_begin = 200;
inline constexpr unsigned status_success_end = 300;
inline constexpr unsigned status_request_timeout = 408;
inline constexpr unsigned status_misdirected = 421;
inline constexpr unsigned status_too_many_requests = 429;
inline constexpr unsigned status_server_error = 500;
inline constexpr unsigned status_bad_gateway = 502;
inline constexpr unsigned status_unavailable = 503;

inline bool is_success(unsigned status)
{
    return status >= status_success_begin && status < status_success_end;
}

// Whether the status tells callers that the request has not run and never will
// (the users' protocol).
inline bool promises_not_run(unsigned status)
{
    return status == status_request_timeout || status == status_misdirected ||
           status == status_too_many_requests || status == status_unavailable;
}

} // namespace waxwingvalve::front
