// An open load on a cluster's entries: requests arrive at random times, no
// matter how many answers are outstanding, so that slow answers cannot lower
// the load that they are measured under.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "harness/cluster.hpp"

namespace waxwingvalve::bench
{

enum class request_class : std::uint8_t
{
    filing,
    availability,
    lineage,
};

inline constexpr std::array class_names{"filing", "availability", "lineage"};

struct class_result
{
    std::uint64_t sent{};
    std::uint64_t done{};
    // Refused by the system as not run.
    std::uint64_t refused{};
    // Outcome unknown, or no whole answer.
    std::uint64_t lost{};
    // Of the answers that are done.
    std::vector<double> latency_ms{};
};

struct load_result
{
    std::array<class_result, class_names.size()> by_class{};
    double seconds{};

    std::uint64_t sent() const;
    std::uint64_t done() const;
    std::uint64_t refused() const;
    std::uint64_t lost() const;
    double done_per_second() const { return double(done()) / seconds; }
    double share_done(request_class what) const;
    // Latency that this share of the answers did not exceed.
    double percentile_ms(double share) const;
};

struct load_target
{
    base::endpoint address{};
    // For the keys of filings sent there; may be empty.
    std::string key_prefix{};
};

struct load_plan
{
    std::string service{};
    std::string filing_prefix{};
    std::vector<load_target> targets{};
    double requests_per_second{};
    std::chrono::milliseconds time{};
};

// Sends the load; returns when each request has ended.
load_result run_load(const load_plan& plan, std::mt19937_64& random);

// The entries of a cluster that are named now, with their key prefixes.
std::vector<load_target> targets_of(
    const harness::cluster& cluster, const std::string& service);

} // namespace waxwingvalve::bench
