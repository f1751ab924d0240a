// Checks a record against the other records in force.
#pragma once

#include "base/result.hpp"
#include "decision/records/configuration.hpp"

namespace waxwingvalve::decision::records
{

// Checks the configuration that accepting `next` would produce: workers of
// services are in declared zones, shifts name a service in force and declared
// zones, and if `next` is a drain of a zone or a worker, its target exists.
// Errors: record_invalid, with the key of the invalid record and the value.
base::result<void> check_consistency(
    const configuration& in_force, const schema::record& next);

} // namespace waxwingvalve::decision::records
