// Whether a record that is valid alone also fits the others in force.
#pragma once

#include "base/result.hpp"
#include "decision/records/configuration.hpp"

namespace waxwingvalve::decision::records
{

// Checks the configuration that accepting `next` would make: each service's
// workers are in declared zones, each shift names a service in force and
// declared zones, a drain that is `next` names something that exists.
// Errors: record_invalid, naming the record at fault and the value.
base::result<void> check_fits(
    const configuration& in_force, const schema::record& next);

} // namespace waxwingvalve::decision::records
