// The memory that a daemon spends on the bodies of requests and answers.
#pragma once

#include <cstdint>

#include "decision/limits/byte_budget.hpp"

namespace waxwingvalve::front
{

namespace limits = decision::limits;

// Requests and answers have a half each, so that uploads that wait for a worker
// leave room for the answers of others.
struct body_memory
{
    explicit body_memory(std::uint64_t bytes)
        : requests{bytes / 2}, answers{bytes / 2}
    {
    }

    limits::byte_budget requests;
    limits::byte_budget answers;
};

} // namespace waxwingvalve::front
