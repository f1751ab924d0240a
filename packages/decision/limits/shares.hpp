// The part that each worker has of the caps in force.
#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "decision/limits/admission.hpp"
#include "decision/records/configuration.hpp"

namespace waxwingvalve::decision::limits
{

// Shares of all services in `zone`, of the workers that `owns` names. Every
// daemon of the zone computes the same parts from the same configuration,
// because these hang on the records alone.
std::vector<service_share> shares_of(
    const records::configuration& in_force,
    std::string_view zone,
    const std::function<bool(const schema::worker&)>& owns);

} // namespace waxwingvalve::decision::limits
