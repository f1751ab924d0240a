// Selects the service of a split route for each request.
//
// Smooth weighted round-robin: over any run of requests, each part's share
// stays within one request of its weight, so the split holds for a daemon with
// little traffic too.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decision/steering/configuration.hpp"

namespace waxwingvalve::decision::steering
{

class split_picker
{
public:
    // Returns the service for the next request of `route`.
    const std::string& next(const route& route);

private:
    // Credits of a route's parts, by the route's name.
    std::map<std::string, std::vector<std::int64_t>, std::less<>> credits_;
};

} // namespace waxwingvalve::decision::steering
