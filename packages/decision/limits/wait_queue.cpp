#include "decision/limits/wait_queue.hpp"

namespace waxwingvalve::decision::limits
{
namespace
{

constexpr std::chrono::milliseconds max_critical_wait{1000};
constexpr std::chrono::milliseconds max_default_wait{300};
// The newest interval has a weight of 1/8 in the exponential moving average.
constexpr int smoothing_divisor = 8;

} // namespace

base::duration max_wait(schema::priority priority)
{
    return priority == schema::priority::critical ? max_critical_wait
                                                  : max_default_wait;
}

void dequeue_rate::note_dequeue(base::instant now)
{
    if (last_)
    {
        interval_ += (now - *last_ - interval_) / smoothing_divisor;
    }
    last_ = now;
}

base::duration dequeue_rate::expected_wait(std::size_t ahead) const
{
    return interval_ * static_cast<std::int64_t>(ahead);
}

} // namespace waxwingvalve::decision::limits
