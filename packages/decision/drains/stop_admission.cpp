#include "decision/drains/stop_admission.hpp"

#include <algorithm>

namespace waxwingvalve::decision::drains
{

namespace
{

base::duration multiply(base::duration time, double factor)
{
    return std::chrono::duration_cast<base::duration>(time * factor);
}

} // namespace

void stop_admission::record_answer(
    const std::string& route, base::duration latency, base::instant now)
{
    if (!latencies_.contains(route) && latencies_.size() >= max_routes)
    {
        return;
    }
    auto& known = latencies_[route];
    known.window.add(latency, now);
    known.slowest = std::max(latency, multiply(known.slowest, slowest_decay));
}

bool stop_admission::allows(
    const stop_candidate& request, base::instant now) const
{
    if (!end_ || request.deadline <= *end_)
    {
        return true;
    }
    const auto needed = needed_time(request, now);
    return needed && now + *needed <= *end_;
}

// Nothing if no answer of the route is known.
std::optional<base::duration> stop_admission::needed_time(
    const stop_candidate& request, base::instant now) const
{
    const auto known = latencies_.find(request.route);
    if (known == latencies_.end())
    {
        return std::nullopt;
    }
    const auto latency = known->second.window.percentile(
        request.idempotent ? idempotent_percent : non_idempotent_percent, now);
    if (!latency)
    {
        return multiply(known->second.slowest, slowest_margin);
    }
    return multiply(
        *latency,
        request.idempotent ? idempotent_margin : non_idempotent_margin);
}

base::duration linger_time(base::duration wanted, base::duration stop_time)
{
    return std::min(wanted, stop_time / 2);
}

} // namespace waxwingvalve::decision::drains
