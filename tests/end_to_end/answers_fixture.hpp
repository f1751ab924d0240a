// One daemon or several before stand-in workers, and callers that keep what
// they got.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "harness/cluster.hpp"

namespace waxwingvalve::harness
{

struct caller_result
{
    std::string target{};
    // 0 when no whole answer came.
    unsigned status{};
    std::string code{};
    std::string outcome{};
    // What the upstream says that it was asked for.
    std::string answered_target{};
    std::chrono::microseconds took{};
};

struct load
{
    std::string service{"lacquer-catalogue"};
    std::string name{"load"};
    int callers{};
    int requests_each{};
    std::chrono::milliseconds deadline{5000};
};

// Zones with one entry each; workers are spread over the zones.
layout small_layout(int zones, int workers);

class answers_cluster : public cluster
{
public:
    answers_cluster(int zones, int workers, bool linked);

    // Accepts the service with these shares, in percent.
    void set_shares(std::uint32_t retry, std::uint32_t hedge);

    caller_result look_up(
        const base::endpoint& entry,
        const std::string& target,
        std::chrono::milliseconds deadline,
        bool crash = false) const;
    caller_result file(
        const base::endpoint& entry, const std::string& key) const;

    // Callers at the first entry, each sending one request after another.
    std::vector<caller_result> drive(const load& what) const;

    void set_all_faults(const std::string& json) const;
    // Sums a number of all workers' control pages.
    std::int64_t sum(const std::string& name) const;
    // All runs of all workers.
    std::vector<boost::json::object> runs() const;

    const base::endpoint& first_entry() const
    {
        return entries().front().caller_address;
    }
};

} // namespace waxwingvalve::harness
