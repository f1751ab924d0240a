// The records that operators accept: one aggregate type for each kind,
// whatever schema version it was written in, and the function that reads one.
//
// Older versions stay valid beside newer ones: parse_record fills the same
// aggregate from each, so nothing above this file knows of versions.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/endpoint.hpp"
#include "base/result.hpp"

namespace waxwingvalve::schema
{

struct zone
{
    std::string name{};
    // Requests at once over all services; 0 when no such cap is set.
    std::uint32_t concurrent_cap{};
};

struct region
{
    std::string name{};
    std::vector<zone> zones{};
};

// Traffic allowed from one region to another, all services together.
struct region_link
{
    std::string from{};
    std::string to{};
    std::uint32_t mbit_per_s{};
};

// Invariant: region and zone names are unique; links name declared regions.
struct deployment
{
    std::string name{};
    std::vector<region> regions{};
    std::vector<region_link> links{};
    // One-way delay between zones of a region, and between regions.
    std::chrono::microseconds zone_delay{};
    std::chrono::microseconds region_delay{};
};

enum class priority : std::uint8_t
{
    background,
    interactive,
    critical,
};

// Invariant: `path_prefix` starts with '/'. A zero deadline means the
// service's own.
struct operation
{
    std::string name{};
    std::string method{};
    std::string path_prefix{};
    bool idempotent{true};
    schema::priority priority{schema::priority::interactive};
    std::chrono::milliseconds deadline{};
};

// Invariant: `slots` is not zero.
struct worker
{
    base::endpoint address{};
    std::string zone{};
    std::uint32_t slots{};
};

struct zone_cap
{
    std::string zone{};
    std::uint32_t concurrent{};
};

// Invariant: worker addresses are unique; each cap's zone has a worker, and
// no cap is above the slots of its zone's workers.
struct service
{
    std::string name{};
    std::vector<operation> operations{};
    std::vector<worker> workers{};
    std::vector<zone_cap> caps{};
    std::chrono::milliseconds deadline{};
    std::chrono::milliseconds entries_ttl{};
    // Retries and hedges together, in percent of first attempts.
    std::uint32_t retry_percent{};
    // Zero when hedging is off.
    std::uint32_t hedge_percentile{};
    bool retired{};
};

// Moves `percent` of a service's load between zones, a step at a time.
struct shift
{
    std::string name{};
    std::string service{};
    std::vector<std::string> from_zones{};
    std::vector<std::string> to_zones{};
    std::uint32_t percent{};
    std::uint32_t step_percent{};
    std::chrono::milliseconds step_interval{};
    bool retired{};
};

enum class drain_target : std::uint8_t
{
    worker,
    entry,
    zone,
};

struct drain
{
    std::string name{};
    drain_target target_kind{};
    // A worker's address, an entry's name or a zone's name.
    std::string target{};
    bool retired{};
};

struct client_blocks
{
    std::string name{};
    std::vector<std::string> sites{};
    std::string snapshot_object{};
    std::string snapshot_digest{};
    std::vector<std::string> delta_objects{};
    bool retired{};
};

using record_body =
    std::variant<deployment, service, shift, drain, client_blocks>;

struct record
{
    std::string kind{};
    std::string name{};
    std::uint32_t schema_version{};
    record_body body{};
};

// Errors: record_malformed, record_kind_unknown, record_version_unknown,
// record_invalid.
base::result<record> parse_record(std::string_view json);

} // namespace waxwingvalve::schema
