// Request counters and latency histogram in the Prometheus text format.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.hpp"
#include "front/body_memory.hpp"

namespace waxwingvalve::front
{

// A latency histogram with fixed bucket bounds.
class latency_histogram
{
public:
    static constexpr std::array<std::chrono::milliseconds, 12> bounds{
        std::chrono::milliseconds{10},
        std::chrono::milliseconds{25},
        std::chrono::milliseconds{50},
        std::chrono::milliseconds{100},
        std::chrono::milliseconds{200},
        std::chrono::milliseconds{300},
        std::chrono::milliseconds{500},
        std::chrono::milliseconds{800},
        std::chrono::milliseconds{1'500},
        std::chrono::milliseconds{3'000},
        std::chrono::milliseconds{6'000},
        std::chrono::milliseconds{15'000}};

    void add(base::duration latency);

    // Formats the histogram as Prometheus text under the given name.
    std::string text(const std::string& name, const std::string& help) const;

private:
    std::array<std::uint64_t, bounds.size() + 1> counts_{};
    std::chrono::duration<double> sum_{};
    std::uint64_t total_{};
};

// Counters of the requests that one daemon serves.
struct request_metrics
{
    std::uint64_t requests{};
    std::uint64_t sends{};
    std::uint64_t retries{};
    std::uint64_t callers_gone{};
    std::uint64_t store_failures{};
    // Of answers with rows that failed before they were whole.
    std::uint64_t table_bytes_discarded{};
    // Number of the configuration in force.
    std::uint64_t configuration{};
    std::uint64_t health_checks{};
    std::uint64_t health_answers{};
    std::uint64_t requests_unreadable{};
    // Refused because they name no account by a key in force.
    std::uint64_t requests_without_account{};
    // Refused because their account has used its quota, or because no owner of
    // the quota answers.
    std::uint64_t quota_exceeded{};
    std::uint64_t quota_unconfirmed{};
    // Requests that waited for a token.
    std::uint64_t quota_waits{};
    std::uint64_t quota_messages{};
    std::uint64_t answers_unreadable{};
    // Answers over the bounds of one answer.
    std::uint64_t answers_oversized{};
    std::uint64_t requests_without_answer_memory{};
    std::uint64_t connections_turned_away{};
    // Request counts by final result: "passed_on", "not_run", "unknown".
    std::map<std::string, std::uint64_t> ends{};
    latency_histogram answer_latency{};
};

// Formats all metrics as Prometheus text.
std::string metrics_text(
    const request_metrics& counts, const body_memory& memory);

} // namespace waxwingvalve::front
