// The largest answers of late, by route: how much memory a request's answer may
// need, so that a request that may not be sent again is refused before it is
// sent rather than lost after it has run.
//
// Load pattern: answers of a route are mostly alike, and now and then one is
// far larger. It counts for two windows at most.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.hpp"

namespace waxwingvalve::decision::limits
{

class answer_sizes
{
public:
    static constexpr base::duration window{std::chrono::seconds{10}};

    // Records the memory of a whole, sound answer, in bytes.
    void record(
        const std::string& route, std::uint64_t bytes, base::instant now);

    // The largest of this window and the one before; 0 without any.
    std::uint64_t largest(const std::string& route, base::instant now) const;

private:
    struct recent
    {
        base::instant begin{};
        std::uint64_t largest{0};
        std::uint64_t largest_before{0};
    };

    static recent advanced(const recent& from, base::instant now);

    // Grows with the routes of all configurations, of which few are new.
    std::map<std::string, recent> routes_;
};

} // namespace waxwingvalve::decision::limits
