// What the soak's workers, daemons and callers share: the field names, the
// users' times, and what has been seen of each attempt.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/time.hpp"

namespace waxwingvalve::soak
{

// The users' bounds: a daemon is bound once it and the store have been without
// disturbance for `contact_time`.
constexpr std::chrono::milliseconds contact_time{4'000};
constexpr std::chrono::milliseconds configuration_bound{2'500};
constexpr std::chrono::milliseconds rollback_slack{250};

// What a process may use on the users' machines.
constexpr std::uint64_t memory_bytes = 260ULL * 1024 * 1024;

constexpr std::string_view attempt_field = "X-Waxwingvalve-Attempt-Id";
constexpr std::string_view signature_field =
    "X-Waxwingvalve-Response-Signature";

// The value of a header field in the head of a message; empty without one.
std::string value_of(const std::string& head, std::string_view field);

// Runs `action` on the loop after `time`.
void later(
    boost::asio::io_context& loop,
    std::chrono::milliseconds time,
    std::function<void()> action);

struct soak_zone
{
    std::string_view name{};
    std::string_view region{};
};

// As on the users' small sites: three regions of two zones.
constexpr std::array<soak_zone, 6> zones{{
    {"addis-a", "addis"},
    {"harar-a", "harar"},
    {"mekele-a", "mekele"},
    {"addis-b", "addis"},
    {"harar-b", "harar"},
    {"mekele-b", "mekele"},
}};

// Daemons and workers go round the zones.
constexpr const soak_zone& zone_of(int number)
{
    return zones.at(static_cast<std::size_t>(number) % zones.size());
}

// Everything that workers and callers saw of one attempt.
struct attempt_record
{
    bool idempotent{};
    int runs{0};
    // Its worker sent a body without end, which is whole if the connection
    // ends.
    bool body_until_close{false};
    // 0 when the connection ended without an answer.
    unsigned status{0};
    // The number of the daemon that was asked.
    int daemon{};
    // Account of the caller; empty if it is not checked.
    std::string account{};
    base::instant sent_at{};
    base::instant ended_at{};
};

struct ledger
{
    std::map<std::string, attempt_record> attempts{};
    std::vector<std::string> broken{};
    // Time of the last request that each worker began to run.
    std::map<std::string, base::instant> last_run{};
    // When requests of each account began to run.
    std::map<std::string, std::vector<base::instant>> runs_of_account{};
};

} // namespace waxwingvalve::soak
