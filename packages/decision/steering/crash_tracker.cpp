#include "decision/steering/crash_tracker.hpp"

#include <algorithm>

namespace waxwingvalve::decision::steering
{

bool crash_tracker::record_crash(
    request_digest digest, base::instant began, base::instant now)
{
    evict_old(now);
    auto& count = crashes_[digest];
    // Concurrent runs of one request, whose workers ended together, are
    // evidence of a single crash only.
    if (count.crashes > 0 && began < count.last_crash)
    {
        return false;
    }
    ++count.crashes;
    count.last_crash = now;
    return true;
}

void crash_tracker::record_remote_crash(
    request_digest digest, base::instant now)
{
    evict_old(now);
    auto& count = crashes_[digest];
    ++count.crashes;
    count.last_crash = now;
}

void crash_tracker::record_answer(request_digest digest)
{
    crashes_.erase(digest);
}

bool crash_tracker::is_poisonous(request_digest digest) const
{
    const auto found = crashes_.find(digest);
    return found != crashes_.end() &&
           found->second.crashes >= refusal_threshold;
}

void crash_tracker::evict_old(base::instant now)
{
    std::erase_if(
        crashes_,
        [&](const auto& item)
        { return now - item.second.last_crash > retention_time; });
    if (crashes_.size() < max_digests)
    {
        return;
    }
    const auto oldest = std::ranges::min_element(
        crashes_, {}, [](const auto& item) { return item.second.last_crash; });
    crashes_.erase(oldest);
}

} // namespace waxwingvalve::decision::steering
