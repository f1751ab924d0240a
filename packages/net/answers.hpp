// Answers that the system makes itself: each says whether the request ran.
#pragma once

#include <cstdint>

#include "base/result.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::net
{

inline constexpr std::string_view outcome_field = "Waxwing-Outcome";
inline constexpr std::string_view code_field = "Waxwing-Code";

// What is known of the request that an answer of the system speaks of.
enum class outcome : std::uint8_t
{
    // It did not run, and will not run under this key.
    not_run,
    // It may have run.
    unknown,
    // It ran; the answer that it gave comes with this or was too large.
    done,
};

std::string_view to_string(outcome what);

// How a request ended here. Invariant: `what` is `done` only when `answer` is
// the upstream's whole own answer; it is `not_run` only when no upstream ran
// the request and none will.
struct finished
{
    outcome what{outcome::unknown};
    http_response answer{};
};

// A refusal and what it says of the request.
finished refuse(const base::error& reason, outcome what);

// JSON {code, name, message} with the status that suits the code.
http_response make_refusal(const base::error& reason, outcome what);

// 200 with a JSON body.
http_response make_json(std::string body);

} // namespace waxwingvalve::net
