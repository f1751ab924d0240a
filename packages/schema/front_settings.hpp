// Settings of a daemon that sends straight to the workers.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "base/log.hpp"
#include "base/result.hpp"

namespace waxwingvalve::schema
{

// Invariant: `zones` holds `zone`, with `region`.
struct front_settings
{
    std::string name{};
    std::string region{};
    std::string zone{};
    base::endpoint caller_address{};
    base::endpoint readiness_address{};
    // Callers ask here where to connect.
    base::endpoint lookup_address{};
    // Other daemons and operators ask here.
    base::endpoint control_address{};
    // Heartbeats of other daemons come here, at the host of caller_address.
    base::endpoint peer_address{};
    // Control addresses of daemons that may live.
    std::vector<base::endpoint> seeds{};
    // The region of each zone.
    std::map<std::string, std::string> zones{};
    base::endpoint store_address{};
    // How long a caller may keep the answer to a look-up.
    std::chrono::milliseconds lookup_lifetime{};
    // From the signal to stop to the end that is forced.
    std::chrono::milliseconds stop_time{};
    double retry_ratio{};
    std::chrono::milliseconds retry_window{};
    // Further sends in each window, by all daemons together.
    double retry_allowance{};
    // Share of a region's requests that may change regions at once.
    double region_step{};
    base::log_level log_level{base::log_level::info};
    // How often a worker reports; its entry ends after three silent intervals.
    std::chrono::milliseconds worker_report_interval{1'500};
    // Memory for the bodies of requests and answers; 0 for a share of what the
    // process may use.
    std::uint64_t body_memory_bytes{};
    // What the process may use in all; 0 where only the system says it.
    std::uint64_t memory_bytes{};
    // Most memory for one answer, for the answers of one worker on their way,
    // and for the requests or the unread answers of one caller; 0 for shares
    // of the memory for bodies.
    std::uint64_t max_answer_bytes{};
    std::uint64_t worker_answer_bytes{};
    std::uint64_t caller_bytes{};
    // Callers' connections at one time; 0 for as many as the memory allows.
    std::uint32_t max_connections{};
    // Whether keys of client accounts are refused once it is not known for
    // revocation_time whether the configuration in force is the newest.
    bool strict_revocation{};
    std::chrono::milliseconds revocation_time{5'000};
    // In any quota_window the requests of an account may pass its quota by
    // quota_overshoot, as a share, and by quota_slack requests.
    std::chrono::milliseconds quota_window{5'000};
    double quota_overshoot{0.1};
    double quota_slack{20.0};
};

// Errors: settings_malformed, settings_invalid.
base::result<front_settings> parse_front_settings(std::string_view json);

} // namespace waxwingvalve::schema
