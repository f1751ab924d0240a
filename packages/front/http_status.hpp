// The HTTP statuses that the serving path judges (RFC 9110, section 15).
#pragma once

namespace waxwingvalve::front
{

inline constexpr unsigned status_success_begin = 200;
inline constexpr unsigned status_success_end = 300;
inline constexpr unsigned status_misdirected = 421;
inline constexpr unsigned status_server_error = 500;
inline constexpr unsigned status_bad_gateway = 502;
inline constexpr unsigned status_unavailable = 503;

inline bool is_success(unsigned status)
{
    return status >= status_success_begin && status < status_success_end;
}

} // namespace waxwingvalve::front
