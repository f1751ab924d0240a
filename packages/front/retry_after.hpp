// The time after which a refused caller may come again.
#pragma once

#include <string_view>

#include "net/http_message.hpp"

namespace waxwingvalve::front
{

// Sets Retry-After, in seconds. Callers refused together get times that are
// spread by their attempt ids, so that they do not return together.
void set_retry_after(net::http_response& answer, std::string_view attempt_id);

} // namespace waxwingvalve::front
