// Computes each worker's share of the caps in the current configuration.
#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "decision/limits/admission.hpp"
#include "decision/records/configuration.hpp"

namespace waxwingvalve::decision::limits
{

// Returns the shares of all services in `zone`, limited to the workers for
// which `owns` is true. A worker's share depends only on the records, so all
// daemons of the zone compute the same value from the same configuration.
std::vector<service_share> compute_shares(
    const records::configuration& in_force,
    std::string_view zone,
    const std::function<bool(const schema::worker&)>& owns);

} // namespace waxwingvalve::decision::limits
