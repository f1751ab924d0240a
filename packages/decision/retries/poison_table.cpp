#include "decision/retries/poison_table.hpp"

#include <algorithm>

namespace waxwingvalve::decision::retries
{

poison_verdict poison_table::admit(
    request_digest digest, std::uint32_t reported_deaths, base::instant now)
{
    remove_expired(now);
    const auto found = entries_.find(digest);
    if (found == entries_.end() && reported_deaths == 0)
    {
        return poison_verdict::clear;
    }
    const auto known = found == entries_.end() ? entry{} : found->second;
    const bool proven = known.deaths_alone + reported_deaths > 0;
    if (proven && known.deaths + reported_deaths >= deaths_to_refuse)
    {
        return poison_verdict::refuse;
    }
    if (known.trial_running)
    {
        return poison_verdict::wait;
    }
    if (found == entries_.end())
    {
        evict_if_full();
    }
    auto& one = entries_[digest];
    one.trial_running = true;
    one.last_death = std::max(one.last_death, now - retention / 2);
    return poison_verdict::run_alone;
}

void poison_table::worker_died(
    std::span<const request_digest> running, base::instant now)
{
    remove_expired(now);
    // Copies of one request count once for one death.
    std::vector<request_digest> distinct(running.begin(), running.end());
    std::ranges::sort(distinct);
    distinct.erase(
        std::unique(distinct.begin(), distinct.end()), distinct.end());
    for (const auto digest : distinct)
    {
        if (!entries_.contains(digest))
        {
            evict_if_full();
        }
        auto& one = entries_[digest];
        ++one.deaths;
        one.deaths_alone += distinct.size() == 1 ? 1 : 0;
        one.trial_running = false;
        one.last_death = now;
    }
}

void poison_table::clear_suspect(request_digest digest)
{
    entries_.erase(digest);
}

void poison_table::cancel_trial(request_digest digest)
{
    const auto found = entries_.find(digest);
    if (found == entries_.end())
    {
        return;
    }
    found->second.trial_running = false;
    if (found->second.deaths == 0)
    {
        entries_.erase(found);
    }
}

std::vector<request_digest> poison_table::digests_to_publish(
    base::instant now) const
{
    std::vector<request_digest> out;
    for (const auto& [digest, one] : entries_)
    {
        const bool old = now - one.last_death >= retention;
        const auto times = std::min(one.deaths, deaths_to_refuse);
        if (one.deaths_alone > 0 && !old && out.size() + times <= max_published)
        {
            out.insert(out.end(), times, digest);
        }
    }
    return out;
}

void poison_table::remove_expired(base::instant now)
{
    std::erase_if(
        entries_,
        [&](const auto& item)
        { return now - item.second.last_death >= retention; });
}

void poison_table::evict_if_full()
{
    if (entries_.size() < max_digests)
    {
        return;
    }
    // What is proven stays longest, then what died last.
    const auto rank = [](const auto& item)
    {
        return std::pair{
            std::min(item.second.deaths_alone, deaths_to_refuse),
            item.second.last_death};
    };
    entries_.erase(std::ranges::min_element(entries_, {}, rank));
}

} // namespace waxwingvalve::decision::retries
