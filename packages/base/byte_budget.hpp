// Limits the memory that requests and answers take while they are buffered.
//
// A daemon holds bodies whole: a request may be sent to another worker, and
// only a complete answer is passed on. Without a common limit, a few callers
// with large bodies, or a worker whose answer never ends, would take all the
// memory of a VM.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <utility>

namespace waxwingvalve::base
{

class byte_budget
{
public:
    explicit byte_budget(std::uint64_t limit) : limit_{limit} {}

    // Returns false, and counts a refusal, if the limit would be passed.
    bool try_take(std::uint64_t bytes);
    // Takes bytes that are in memory already, even beyond the limit.
    void take(std::uint64_t bytes) { used_ += bytes; }
    void give_back(std::uint64_t bytes) { used_ -= bytes; }

    std::uint64_t limit() const { return limit_; }
    std::uint64_t used() const { return used_; }
    std::uint64_t refusals() const { return refusals_; }

private:
    std::uint64_t limit_;
    std::uint64_t used_{0};
    std::uint64_t refusals_{0};
};

// Bytes taken from a budget, given back at the end of its life. The budget has
// to outlive it.
class byte_hold
{
public:
    byte_hold() = default;
    explicit byte_hold(byte_budget& budget) : budget_{&budget} {}
    ~byte_hold() { release(); }
    byte_hold(byte_hold&& other) noexcept
        : budget_{other.budget_}, bytes_{std::exchange(other.bytes_, 0)}
    {
    }
    byte_hold& operator=(byte_hold&& other) noexcept;
    byte_hold(const byte_hold&) = delete;
    byte_hold& operator=(const byte_hold&) = delete;

    // Grows to `bytes`, or returns false and stays as it is. Never shrinks.
    bool try_grow(std::uint64_t bytes);
    // Sets the size even beyond the budget's limit.
    void resize(std::uint64_t bytes);
    void release() { resize(0); }

    std::uint64_t bytes() const { return bytes_; }

private:
    byte_budget* budget_{nullptr};
    // Invariant: 0 without a budget.
    std::uint64_t bytes_{0};
};

} // namespace waxwingvalve::base
