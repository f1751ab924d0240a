// The upstream workers that this daemon may dispatch to at one moment.
#pragma once

#include <cstdint>
#include <set>

#include "base/endpoint.hpp"
#include "base/time.hpp"

namespace waxwingvalve::decision::ownership
{

// Invariant: no other daemon may dispatch to a worker in `addresses`.
struct owned_workers
{
    std::set<base::endpoint> addresses{};
    // False from a pause of this process until its zone has been asked:
    // nothing may be dispatched in between.
    bool may_dispatch{true};
    // Nothing may be dispatched from this moment on unless a newer set came.
    // A process that was paused finds it in the past.
    base::instant dispatch_until{base::instant::max()};
    // Higher with each change of `addresses`; the reader confirms it.
    std::uint64_t version{};
};

} // namespace waxwingvalve::decision::ownership
