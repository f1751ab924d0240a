// What one attempt at a worker or a peer came to, and what may follow it.
#pragma once

#include <string>
#include <string_view>

#include "base/result.hpp"
#include "daemon/serving/answers.hpp"
#include "net/http_client.hpp"

namespace waxwingvalve::daemon::serving
{

// What may be done about a request after an attempt.
enum class next_step : std::uint8_t
{
    // The answer, or a refusal that another attempt would not change.
    none,
    // It did not run; it may be tried elsewhere, whatever it is.
    place_elsewhere,
    // It ran or may have run; an idempotent request may be tried again.
    repeat,
    // The worker died with it; an idempotent request may be tried again
    // with a worker to itself.
    repeat_alone,
};

struct attempt_result
{
    finished end{};
    next_step next{next_step::none};
    // The next step sends load to an upstream and is paid for by the budget.
    bool loads_upstream{false};
};

// The exchange failed before a whole answer came.
attempt_result judge_failure(const net::exchange_failure& failure);

// A worker's whole answer, which has to echo the attempt.
attempt_result judge_answer(
    net::http_response answer, std::string_view attempt);

// A peer's whole answer: without an outcome of the peer's own it is that of
// the upstream.
attempt_result judge_peer_answer(
    net::http_response answer, std::string_view attempt);

} // namespace waxwingvalve::daemon::serving
