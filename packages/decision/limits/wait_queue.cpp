#include "decision/limits/wait_queue.hpp"

namespace waxwingvalve::decision::limits
{
namespace
{

constexpr std::chrono::milliseconds longest_critical_wait{1000};
constexpr std::chrono::milliseconds longest_other_wait{300};
// Weight of the newest interval in the mean, as a divisor.
constexpr int mean_divisor = 8;

} // namespace

base::duration max_wait(schema::priority priority)
{
    return priority == schema::priority::critical ? longest_critical_wait
                                                  : longest_other_wait;
}

void dequeue_rate::note_dequeue(base::instant now)
{
    if (last_)
    {
        interval_ += (now - *last_ - interval_) / mean_divisor;
    }
    last_ = now;
}

base::duration dequeue_rate::expected_wait(std::size_t ahead) const
{
    return interval_ * static_cast<std::int64_t>(ahead);
}

} // namespace waxwingvalve::decision::limits
