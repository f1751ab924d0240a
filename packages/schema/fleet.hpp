// Heartbeats between daemons: the aggregate types and their encoding.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "base/result.hpp"

namespace waxwingvalve::schema
{

inline constexpr std::uint32_t fleet_schema_version = 2;

struct fleet_member
{
    std::string name{};
    // A later start of the same name has a higher one.
    std::uint64_t incarnation{};
    std::uint32_t heartbeat{};
    // Requests that its callers send, of lately.
    std::uint16_t requests_per_s{};
    base::endpoint caller_address{};
    base::endpoint peer_address{};
    // Where other daemons read what this one knows of the store.
    base::endpoint control_address{};
    std::string zone{};
    std::string region{};
    // It takes no new callers.
    bool leaving{};
};

// What is passed on of every live daemon, in few bytes.
struct fleet_count
{
    // Digest of the name.
    std::uint64_t key{};
    std::uint64_t incarnation{};
    std::uint32_t heartbeat{};
    std::uint16_t requests_per_s{};
    bool leaving{};
};

// A worker crashed while it ran the request of this digest.
struct crash_event
{
    // Random, so that an event that comes twice is told from two events.
    std::uint64_t id{};
    std::uint64_t digest{};
    // Digest of the worker's incarnation; 0 if unknown, as from earlier builds.
    std::uint64_t worker{};
    // Ages of the run's begin and end when the message was sent.
    std::uint32_t sent_age_ms{};
    std::uint32_t ended_age_ms{};
};

// A worker answered a request that was suspected of a crash.
struct answer_event
{
    std::uint64_t id{};
    std::uint64_t digest{};
    // Age of the answer when the message was sent.
    std::uint32_t age_ms{};
};

// A worker named the request rate that it takes from all daemons together, or
// answered without naming one.
struct rate_limit_statement
{
    // Random, so that a statement that comes twice is told from two.
    std::uint64_t id{};
    // Digest of the worker's incarnation.
    std::uint64_t worker{};
    // Age of the observation when the message was sent.
    std::uint32_t age_ms{};
    float requests_per_s{};
    // False if the worker named none.
    bool limited{};
};

// A worker said that it is cold.
struct cold_worker
{
    // Digest of the worker's incarnation.
    std::uint64_t worker{};
    // Age of the observation when the message was sent.
    std::uint32_t age_ms{};
    // What is left of the cold time then.
    std::uint32_t left_ms{};
    // The worker has not said so: others of its zone are cold.
    bool assumed{};
};

struct fleet_beat
{
    fleet_member sender{};
    std::vector<fleet_count> counts{};
    // Keys of daemons that the sender wants described.
    std::vector<std::uint64_t> unknown{};
    // Daemons described to one that asked.
    std::vector<fleet_member> members{};
    std::vector<crash_event> crashes{};
    std::vector<answer_event> answers{};
    std::vector<rate_limit_statement> rate_limits{};
    std::vector<cold_worker> cold_workers{};
    // The receiver passes the cold workers on to the daemons of its zone.
    bool pass_on{};
};

std::vector<std::uint8_t> encode(const fleet_beat& beat);

// Errors: message_malformed, message_version_unknown.
base::result<fleet_beat> parse_fleet_beat(std::span<const std::uint8_t> bytes);

} // namespace waxwingvalve::schema
