// What the soak's workers, daemons and callers share: the field names, the
// users' times, and what has been seen of each attempt.
#pragma once

#include <chrono>
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

// Everything that workers and callers saw of one attempt.
struct attempt_record
{
    bool idempotent{};
    int runs{0};
    // 0 when the connection ended without an answer.
    unsigned status{0};
    base::instant sent_at{};
};

struct ledger
{
    std::map<std::string, attempt_record> attempts{};
    std::vector<std::string> broken{};
    // Time of the last request that each worker began to run.
    std::map<std::string, base::instant> last_run{};
};

} // namespace waxwingvalve::soak
