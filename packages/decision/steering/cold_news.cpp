#include "decision/steering/cold_news.hpp"

#include <algorithm>

namespace waxwingvalve::decision::steering
{

void cold_news::record(std::uint64_t worker, const cold_statement& said)
{
    auto& known = workers_[worker];
    known.said = said;
    known.fresh = true;
    known.warm_repeats_left = 0;
}

void cold_news::record_warm(std::uint64_t worker, const cold_statement& said)
{
    workers_[worker] = {.said = said, .warm_repeats_left = warm_repeats};
}

void cold_news::drop_assumption(std::uint64_t worker, base::instant since)
{
    const auto known = workers_.find(worker);
    if (known != workers_.end() && is_assumption(known->second.said.source) &&
        known->second.said.since <= since)
    {
        workers_.erase(known);
    }
}

bool cold_news::due(const told_worker& one, base::instant now)
{
    if (one.warm_repeats_left > 0)
    {
        return one.told_at == base::instant{} ||
               now - one.told_at >= warm_repeat_interval;
    }
    if (is_assumption(one.said.source) && !one.fresh)
    {
        return false;
    }
    // What the others assume ends sooner than what the worker says.
    const bool confirmed = one.told_as != one.said.source;
    return one.told_at == base::instant{} || confirmed ||
           now - one.told_at >= repeat_interval;
}

std::vector<schema::cold_worker> cold_news::take(base::instant now)
{
    std::erase_if(
        workers_,
        [&](const auto& item)
        {
            return item.second.said.until <= now &&
                   item.second.warm_repeats_left == 0;
        });
    std::vector<schema::cold_worker> news;
    for (auto& [worker, known] : workers_)
    {
        if (!due(known, now))
        {
            continue;
        }
        known.told_at = now;
        known.told_as = known.said.source;
        known.fresh = false;
        known.warm_repeats_left = std::max(known.warm_repeats_left - 1, 0);
        const auto left = std::max(known.said.until - now, base::duration{});
        news.push_back(
            {.worker = worker,
             .age_ms = static_cast<std::uint32_t>(
                 base::to_milliseconds(now - known.said.since)),
             .left_ms = static_cast<std::uint32_t>(base::to_milliseconds(left)),
             .assumed = is_assumption(known.said.source)});
    }
    return news;
}

} // namespace waxwingvalve::decision::steering
