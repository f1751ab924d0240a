// HTTP requests and answers as plain values, free of Asio and Beast, so that
// everything above the wire compiles and tests without them.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"

namespace waxwingvalve::net
{

struct header_field
{
    std::string name{};
    std::string value{};
};

// Invariant: `fields` holds no hop-by-hop field and no length; the connection
// adds its own.
struct http_request
{
    std::string method{};
    // Path and query as sent, starting with '/'.
    std::string target{};
    std::vector<header_field> fields{};
    std::string body{};
};

struct http_response
{
    unsigned status{200};
    std::vector<header_field> fields{};
    std::string body{};
};

// The memory that the answer takes, in bytes.
std::size_t memory_of(const http_response& answer);

// The value of the first field of this name, compared without case.
std::optional<std::string_view> find_field(
    std::span<const header_field> fields, std::string_view name);

// Replaces every field of this name by one, or adds it.
void set_field(
    std::vector<header_field>& fields,
    std::string_view name,
    std::string value);

void remove_field(std::vector<header_field>& fields, std::string_view name);

// True for the fields that belong to one connection and are never passed on
// (RFC 9110, section 7.6.1), and for the lengths that each hop sets itself.
bool hop_by_hop(std::string_view name);

// The path of a target, without its query.
std::string_view path_of(std::string_view target);

// The value of `name` in the target's query, percent-decoded; nothing when
// it is absent or its encoding is broken.
std::optional<std::string> query_value(
    std::string_view target, std::string_view name);

// Encodes everything but RFC 3986's unreserved characters.
std::string percent_encode(std::string_view text);

} // namespace waxwingvalve::net
