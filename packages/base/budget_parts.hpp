// Parts of one budget, by name: what one worker or one caller may take of it.
//
// A part lives as long as somebody uses it, so that their number is bounded by
// that of connections.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/byte_budget.hpp"

namespace waxwingvalve::base
{

class budget_parts
{
public:
    // `whole` has to outlive the parts, and this the parts' users.
    // Each keeps `kept_in_each` bytes back from ordinary claims.
    budget_parts(
        byte_budget& whole,
        std::uint64_t limit_of_each,
        std::uint64_t kept_in_each = 0)
        : whole_{whole}, limit_{limit_of_each}, kept_{kept_in_each}
    {
    }
    budget_parts(const budget_parts&) = delete;
    budget_parts& operator=(const budget_parts&) = delete;

    // The part of this name, shared by all who ask for it.
    std::shared_ptr<byte_budget> of(const std::string& name);

    std::uint64_t limit_of_each() const { return limit_; }
    std::size_t size() const { return parts_.size(); }

private:
    struct part;

    byte_budget& whole_;
    std::uint64_t limit_;
    std::uint64_t kept_;
    // Invariant: none has expired.
    std::map<std::string, std::weak_ptr<part>> parts_;
};

} // namespace waxwingvalve::base
