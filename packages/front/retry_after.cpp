#include "front/retry_after.hpp"

#include <fmt/format.h>

#include "decision/steering/worker_choice.hpp"

namespace waxwingvalve::front
{
namespace
{

// Gives full workers time to work off their queues.
constexpr double base_s = 0.3;
constexpr double jitter_s = 0.4;

} // namespace

void set_retry_after(net::http_response& answer, std::string_view attempt_id)
{
    // In [0, 1).
    const double spread =
        decision::steering::hash_rank(attempt_id, "retry-after");
    net::set_field(
        answer.fields,
        "Retry-After",
        fmt::format("{:.3f}", base_s + jitter_s * spread));
}

} // namespace waxwingvalve::front
