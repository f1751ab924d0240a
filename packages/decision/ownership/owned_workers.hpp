// The upstream workers that this daemon may dispatch to at one moment.
#pragma once

#include <set>

#include "base/endpoint.hpp"

namespace waxwingvalve::decision::ownership
{

// Invariant: no other daemon may dispatch to a worker in `addresses`.
struct owned_workers
{
    std::set<base::endpoint> addresses{};
    // False from a pause of this process until its zone has been asked:
    // nothing may be dispatched in between.
    bool may_dispatch{true};
};

} // namespace waxwingvalve::decision::ownership
