// Limits the memory that requests and answers take while they are buffered.
//
// A daemon holds bodies whole: a request may be sent to another worker, and
// only a complete answer is passed on. Without a common limit, a few callers
// with large bodies, or a worker whose answer never ends, would take all the
// memory of a VM. Without a limit for each of them, one would take what the
// others need.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace waxwingvalve::base
{

// Whether a claim may use the bytes that a budget keeps back.
enum class byte_claim : std::uint8_t
{
    ordinary,
    kept,
};

class byte_budget
{
public:
    explicit byte_budget(std::uint64_t limit) : limit_{limit} {}
    // A part of `whole`, which has to outlive it. Its bytes count there, too.
    byte_budget(std::uint64_t limit, byte_budget& whole)
        : limit_{limit}, whole_{&whole}
    {
    }

    // Ordinary claims leave this many bytes free.
    void keep_back(std::uint64_t bytes) { kept_ = bytes; }

    // Returns false, and counts a refusal, if the limit would be passed.
    bool try_take(std::uint64_t bytes, byte_claim claim = byte_claim::ordinary);
    // Takes bytes that are in memory already, even beyond the limit.
    void take(std::uint64_t bytes);
    void give_back(std::uint64_t bytes);

    std::uint64_t limit() const { return limit_; }
    std::uint64_t used() const { return used_; }
    std::uint64_t refusals() const { return refusals_; }
    bool has_room(
        std::uint64_t bytes, byte_claim claim = byte_claim::ordinary) const;
    // The budget that this one is a part of; null if it is none.
    byte_budget* whole() const { return whole_; }

private:
    std::uint64_t limit_;
    std::uint64_t kept_{0};
    std::uint64_t used_{0};
    std::uint64_t refusals_{0};
    byte_budget* whole_{nullptr};
};

// Bytes taken from a budget, given back at the end of its life.
class byte_hold
{
public:
    byte_hold() = default;
    // The budget has to outlive the hold.
    explicit byte_hold(
        byte_budget& budget, byte_claim claim = byte_claim::ordinary)
        : budget_{&budget}, claim_{claim}
    {
    }
    // Owns the budget together with its other holds.
    explicit byte_hold(
        std::shared_ptr<byte_budget> budget,
        byte_claim claim = byte_claim::ordinary)
        : owner_{std::move(budget)}, budget_{owner_.get()}, claim_{claim}
    {
    }
    ~byte_hold() { release(); }
    byte_hold(byte_hold&& other) noexcept
        : owner_{std::move(other.owner_)}, budget_{std::exchange(
                                               other.budget_, nullptr)},
          bytes_{std::exchange(other.bytes_, 0)}, claim_{other.claim_}
    {
    }
    byte_hold& operator=(byte_hold&& other) noexcept;
    byte_hold(const byte_hold&) = delete;
    byte_hold& operator=(const byte_hold&) = delete;

    // Grows to `bytes`, or returns false and stays as it is. Never shrinks.
    bool try_grow(std::uint64_t bytes);
    // A hold of all bytes; this one stays a hold of the same budget.
    byte_hold take_all();
    // Sets the size even beyond the budget's limit.
    void resize(std::uint64_t bytes);
    void release() { resize(0); }
    void set_claim(byte_claim claim) { claim_ = claim; }

    std::uint64_t bytes() const { return bytes_; }
    // The budget is a part of another one, and its own limit has no room for
    // growth to `bytes`.
    bool over_part(std::uint64_t bytes) const;
    // The limit of the budget if it is a part of another one.
    std::optional<std::uint64_t> part_limit() const;

private:
    std::shared_ptr<byte_budget> owner_{};
    byte_budget* budget_{nullptr};
    // Invariant: 0 without a budget.
    std::uint64_t bytes_{0};
    byte_claim claim_{byte_claim::ordinary};
};

} // namespace waxwingvalve::base
