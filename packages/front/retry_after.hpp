// The field Retry-After: the time after which a refused caller may come again,
// and what a worker asks of this daemon.
#pragma once

#include <optional>
#include <span>
#include <string_view>

#include "base/time.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::front
{

// Sets Retry-After, in seconds, to `wait` or a little more. Callers refused
// together get times that are spread by their attempt ids, so that they do not
// return together.
void set_retry_after(
    net::http_response& answer,
    std::string_view attempt_id,
    base::duration wait = {});

// Sets Retry-After, in seconds, to `wait`.
void set_exact_retry_after(net::http_response& answer, base::duration wait);

// The longest time that the fields Retry-After name. Fractions of a second
// count; a field that is negative, a date or no number says nothing.
std::optional<base::duration> parse_retry_after(
    std::span<const net::header_field> fields);

} // namespace waxwingvalve::front
