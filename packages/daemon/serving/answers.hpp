// The answers that the system makes itself, by the names of this package.
#pragma once

#include "net/answers.hpp"

namespace waxwingvalve::daemon::serving
{

using net::code_field;
using net::finished;
using net::make_json;
using net::make_refusal;
using net::outcome;
using net::outcome_field;
using net::refuse;
using net::to_string;

} // namespace waxwingvalve::daemon::serving
