// The memory that a daemon spends on the bodies of requests and answers.
#pragma once

#include <cstdint>

#include "base/byte_budget.hpp"
#include "base/memory_limit.hpp"

namespace waxwingvalve::front
{

struct memory_options
{
    // What the process may use for everything.
    base::memory_limit process{};
    // For the bodies of requests and answers together.
    std::uint64_t body_bytes{};
};

// Requests and answers have a half each, so that uploads that wait for a worker
// leave room for the answers of others.
struct body_memory
{
    explicit body_memory(const memory_options& options)
        : process{options.process}, requests{options.body_bytes / 2},
          answers{options.body_bytes / 2}
    {
    }

    base::memory_limit process;
    base::byte_budget requests;
    base::byte_budget answers;
};

} // namespace waxwingvalve::front
