#include "decision/steering/cold_news.hpp"

namespace waxwingvalve::decision::steering
{

void cold_news::record(
    std::uint64_t worker, const cold_statement& said, base::instant now)
{
    auto& known = workers_[worker];
    known.said = said;
    known.pending = known.pending || known.told_at == base::instant{} ||
                    now - known.told_at >= repeat_interval;
}

std::vector<schema::cold_worker> cold_news::take(base::instant now)
{
    std::erase_if(
        workers_,
        [&](const auto& item) { return item.second.said.until <= now; });
    std::vector<schema::cold_worker> news;
    for (auto& [worker, known] : workers_)
    {
        if (!known.pending)
        {
            continue;
        }
        known.pending = false;
        known.told_at = now;
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
