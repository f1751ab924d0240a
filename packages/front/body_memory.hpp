// The memory that a daemon spends on the bodies of requests and answers.
#pragma once

#include <cstdint>

#include "base/byte_budget.hpp"
#include "base/memory_limit.hpp"

namespace waxwingvalve::front
{

// Requests and answers have a half each, so that uploads that wait for a worker
// leave room for the answers of others.
struct body_memory
{
    explicit body_memory(std::uint64_t bytes)
        : requests{bytes / 2}, answers{bytes / 2}
    {
    }

    // What the process may use for everything.
    base::memory_limit process{};
    base::byte_budget requests;
    base::byte_budget answers;
};

} // namespace waxwingvalve::front
