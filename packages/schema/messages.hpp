// Control messages between daemons: aggregate types, and the codec that
// checks every byte of what arrives.
//
// A message is at most `largest_message_bytes` long, so that what control
// costs stays bounded whatever the number of daemons.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "base/result.hpp"

namespace waxwingvalve::schema
{

inline constexpr std::uint32_t message_schema_version = 1;
inline constexpr std::size_t largest_message_bytes = 16UL * 1024;

// Slots that a daemon owns of a service, and how many of them are free.
struct service_room
{
    std::string service{};
    std::uint32_t slots{};
    std::uint32_t free{};
};

// What a daemon says of itself.
struct member_report
{
    std::string name{};
    std::string region{};
    std::string zone{};
    base::endpoint caller_address{};
    base::endpoint peer_address{};
    // Higher with each start of a daemon of this name; 0 when not yet known.
    std::uint64_t incarnation{};
    bool leaving{};
    // Prefix of the idempotency keys that the daemon remembers now.
    std::string key_prefix{};
    // Configuration revision in force there.
    std::uint64_t revision{};
    std::vector<service_room> rooms{};
    // Digests of requests that ended the workers that ran them.
    std::vector<std::uint64_t> poison_digests{};
    // Counter of the incarnation: higher with each report it makes.
    std::uint64_t version{};
};

// A report as one daemon passes it on.
struct member_update
{
    member_report report{};
    std::uint32_t age_ms{};
    // The sender's probes of this version went unanswered.
    bool suspect{};
};

// One worker that a daemon asks for or grants. The stamp is unique to one
// asking, so that a late or repeated grant is told from the one awaited.
struct worker_claim
{
    base::endpoint worker{};
    std::uint64_t stamp{};

    friend bool operator==(const worker_claim&, const worker_claim&) = default;
};

enum class message_kind : std::uint8_t
{
    ping,
    ack,
    ping_request,
    claim,
    grant,
};

struct peer_message
{
    std::string sender{};
    std::uint64_t incarnation{};
    // Higher with each message of the incarnation.
    std::uint64_t sequence{};
    message_kind kind{};
    std::uint64_t probe{};
    // The daemon to be probed; only with ping_request.
    std::string target{};
    std::vector<member_update> members{};
    std::vector<worker_claim> claims{};
};

std::vector<std::uint8_t> encode(const peer_message& message);

// Errors: message_malformed, message_version_unknown.
base::result<peer_message> parse_message(std::span<const std::uint8_t> bytes);

} // namespace waxwingvalve::schema
