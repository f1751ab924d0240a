#include "decision/steering/cold_news.hpp"

namespace waxwingvalve::decision::steering
{

void cold_news::record(std::uint64_t worker, const cold_statement& said)
{
    workers_[worker].said = said;
}

bool cold_news::due(const told_worker& one, base::instant now)
{
    // What the others assume ends sooner than what the worker says.
    const bool confirmed = one.told_as != one.said.source;
    return one.told_at == base::instant{} || confirmed ||
           now - one.told_at >= repeat_interval;
}

std::vector<schema::cold_worker> cold_news::take(base::instant now)
{
    std::erase_if(
        workers_,
        [&](const auto& item) { return item.second.said.until <= now; });
    std::vector<schema::cold_worker> news;
    for (auto& [worker, known] : workers_)
    {
        if (!due(known, now))
        {
            continue;
        }
        known.told_at = now;
        known.told_as = known.said.source;
        news.push_back(
            {.worker = worker,
             .age_ms = static_cast<std::uint32_t>(
                 base::to_milliseconds(now - known.said.since)),
             .left_ms = static_cast<std::uint32_t>(
                 base::to_milliseconds(known.said.until - now)),
             .assumed = known.said.source == cold_source::assumed});
    }
    return news;
}

} // namespace waxwingvalve::decision::steering
