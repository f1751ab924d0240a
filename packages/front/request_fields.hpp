// Reads values from the header fields of requests and answers.
#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "decision/steering/worker_table.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::front
{

// Holds the caller's key, which workers never get while accounts are in force.
inline constexpr std::string_view authorization_field = "Authorization";

// The value of the field, or an empty text.
std::string_view header_value(
    std::span<const net::header_field> fields, std::string_view name);

// The value of the named cookie in a Cookie field (RFC 6265, section 4.2), or
// an empty text.
std::string cookie_value(std::string_view cookies, std::string_view name);

// The host that the request names, without its port.
std::string_view host_of(const net::http_request& request);

// Parses a whole number of milliseconds, cut to a day; nothing if the text is
// anything else.
std::optional<std::chrono::milliseconds> parse_milliseconds(
    std::string_view text);

// Parses "running,waiting,slots"; nothing if the text is anything else.
std::optional<decision::steering::load_report> parse_load(
    std::string_view text);

// The key of a request in the field Authorization (RFC 6750, section 2.1);
// nothing if there is no such field, several, or one of another scheme.
std::optional<std::string_view> bearer_key(
    std::span<const net::header_field> fields);

// What an answer says of the request rate that its worker takes.
struct rate_limit_field
{
    // The field is there, in whatever form.
    bool present{};
    // Requests a second; nothing if no field holds a number of 0 or more.
    std::optional<double> requests_per_s{};
};

// Reads all fields of the name. The lowest rate holds.
rate_limit_field parse_rate_limit(
    std::span<const net::header_field> fields, std::string_view name);

} // namespace waxwingvalve::front
