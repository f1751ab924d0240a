// The memory that a daemon spends on the bodies of requests and answers.
#pragma once

#include <cstdint>

#include "base/budget_parts.hpp"
#include "base/byte_budget.hpp"
#include "base/memory_limit.hpp"

namespace waxwingvalve::front
{

// Sizes in bytes; those that are 0 become shares of `body_bytes`.
struct memory_options
{
    // What the process may use for everything.
    base::memory_limit process{};
    // For the bodies of requests and answers together.
    std::uint64_t body_bytes{};
    // Most for one answer.
    std::uint64_t answer_bytes{};
    // Most for the answers that one worker is sending, beyond what was set
    // aside for them.
    std::uint64_t worker_bytes{};
    // Most for the requests of one caller, and for the answers that it has not
    // read yet.
    std::uint64_t caller_bytes{};
};

// Requests and answers have a half each, so that uploads that wait for a worker
// leave room for the answers of others. A quarter of the answers' half is kept
// for what is set aside before requests are sent, and for answers of requests
// that may not be sent again.
struct body_memory
{
    explicit body_memory(const memory_options& options);
    body_memory(const body_memory&) = delete;
    body_memory& operator=(const body_memory&) = delete;

    base::memory_limit process;
    // Most for one answer, in bytes.
    std::uint64_t most_for_answer;
    // Set aside for the answer of each request before it is sent, in bytes.
    std::uint64_t usual_answer;
    base::byte_budget requests;
    base::byte_budget answers;
    // By worker id.
    base::budget_parts answers_of_workers;
    // By the caller's IP number.
    base::budget_parts requests_of_callers;
    base::budget_parts answers_of_callers;
};

} // namespace waxwingvalve::front
