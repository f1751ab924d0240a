// The steering configuration: routes, services, client accounts and limits for
// callers.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "decision/accounts/client_account.hpp"

namespace waxwingvalve::decision::steering
{

struct split_part
{
    std::string service{};
    // Weight of this part relative to the route's other parts.
    std::uint32_t weight{};

    friend bool operator==(const split_part&, const split_part&) = default;
};

// Invariant: `prefix` begins and ends with '/', and `parts` is not empty.
struct route
{
    std::string name{};
    std::string host{};
    std::string prefix{};
    bool idempotent{};
    // Time after which a request of a caller times out.
    std::chrono::milliseconds timeout{};
    // Answers within this time count as in time.
    std::chrono::milliseconds target_latency{};
    // 0 is the most important.
    std::uint32_t priority{};
    std::vector<split_part> parts{};
    // Largest number of workers to which one request is sent.
    std::uint32_t max_attempts{1};
    // Requests for the same object prefer the same worker.
    bool sticky{};
    // Regions that may run the route; empty for all regions.
    std::vector<std::string> home_regions{};
    // Its requests need no key of a client account.
    bool is_public{};
};

struct service_settings
{
    std::string name{};
    std::string health_path{};
    // Connections that a worker accepts from all daemons together.
    std::uint32_t max_connections{};
    // How long a worker is slow after its start.
    std::chrono::milliseconds cold_time{};
    // Requests per second that a cold worker accepts from all daemons together.
    double cold_requests_per_s{};
};

struct caller_limits
{
    std::uint32_t head_bytes{16 * 1024};
    std::uint64_t body_bytes{64ULL * 1024 * 1024};
    std::chrono::milliseconds head_time{3'000};
    std::chrono::milliseconds idle_time{15'000};
};

struct configuration
{
    std::uint64_t version{};
    std::vector<route> routes{};
    std::map<std::string, service_settings> services{};
    // If there is one, a request has to name an account by its key.
    std::vector<accounts::client_account> accounts{};
    caller_limits limits{};
};

// Finds the route of a request: among the routes of its host, the one with the
// longest prefix that matches the path.
class route_table
{
public:
    route_table() = default;
    explicit route_table(const std::vector<route>& routes);

    // Returns null if no route matches. The pointer is valid as long as the
    // table.
    const route* find(std::string_view host, std::string_view path) const;

private:
    // Routes of each host, longest prefix first.
    std::map<std::string, std::vector<route>, std::less<>> by_host_;
};

} // namespace waxwingvalve::decision::steering
