// A client account of the steering configuration: who its callers are, and what
// holds for their requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace waxwingvalve::decision::accounts
{

// Invariant: the name is a value that a header field can hold, and no key is
// empty.
struct client_account
{
    std::string name{};
    // Secrets. Never logged, and never passed on.
    std::vector<std::string> keys{};
    // Replaces the priority of the route; 0 is the most important.
    std::optional<std::uint32_t> priority{};
    // Quota of all daemons together, in requests per second; 0 for no limit.
    double requests_per_s{};
    // Requests that the quota allows beyond its rate.
    double burst{};
    // Regions that may run the account's requests; empty for all regions.
    std::vector<std::string> home_regions{};
};

} // namespace waxwingvalve::decision::accounts
