// GET /metrics: every figure of the daemon in the text exposition format,
// version 0.0.4.
#pragma once

#include <string>

#include "daemon/figures.hpp"

namespace waxwingvalve::daemon
{

std::string metrics_page(const figures& counts);

} // namespace waxwingvalve::daemon
