// How a daemon lost contact with a worker, and what shows that the worker lives
// all the same.
#pragma once

#include <cstdint>

#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

enum class contact_loss : std::uint8_t
{
    none,
    // Nothing listens at its address: it has ended.
    refused,
    // Its address answers neither an attempt to connect nor what was sent: it
    // has ended with its VM, or the path is cut.
    silent,
    // Its address doesn't know a connection any more: it may have ended and
    // started again.
    reset,
};

// Contact that was lost with something sent at `since`.
struct lost_contact
{
    contact_loss how{};
    base::instant since{};
};

// An answer, to a request that was sent at `sent_at` on a connection that was
// open since `connected_at`.
struct contact_proof
{
    base::instant connected_at{};
    base::instant sent_at{};

    // Whether the process that took connections before `time` lived after it.
    bool spans(base::instant time) const
    {
        return connected_at < time && sent_at >= time;
    }
};

} // namespace waxwingvalve::decision::steering
