// The largest answers of late, by route: how much memory a request's answer may
// need, so that a request is refused before it is sent rather than lost after
// it has run.
//
// Load pattern: answers of a route are mostly alike, and now and then one is
// far larger. It counts for two windows at most.
#pragma once

#include <chrono>
#include <cstddef>
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
    // Beyond this many routes, those without answers of late are forgotten.
    static constexpr std::size_t many_routes = 1'024;

    // Records the memory of a whole, sound answer, in bytes.
    void record(
        const std::string& route, std::uint64_t bytes, base::instant now);

    // The largest of this window and the one before; 0 without any.
    std::uint64_t largest(const std::string& route, base::instant now) const;

    std::size_t routes() const { return routes_.size(); }

private:
    struct recent
    {
        base::instant begin{};
        std::uint64_t largest{0};
        std::uint64_t largest_before{0};
    };

    static recent advanced(const recent& from, base::instant now);
    void forget_old(base::instant now);

    std::map<std::string, recent> routes_;
};

} // namespace waxwingvalve::decision::limits
