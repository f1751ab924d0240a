// What a worker says of itself with any answer.
#pragma once

#include <cstdint>
#include <span>

#include "base/time.hpp"
#include "front/serving_context.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::front
{

struct worker_answer
{
    // Digest of the incarnation that the request was sent to.
    std::uint64_t incarnation{};
    std::span<const net::header_field> fields{};
    base::instant sent_at{};
};

// Records the worker's load, its cold time and that it leaves.
void record_worker_state(
    serving_context& context,
    steering::worker& worker,
    const worker_answer& answer,
    base::instant now);

} // namespace waxwingvalve::front
