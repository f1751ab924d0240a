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
    auto& suspect = entries_[digest];
    suspect.trial_running = true;
    suspect.last_death = std::max(suspect.last_death, now - retention / 2);
    return poison_verdict::run_alone;
}

void poison_table::worker_died(
    std::span<const request_digest> running, base::instant now)
{
    remove_expired(now);
    // Several copies of a request on one worker count as one death.
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
        auto& suspect = entries_[digest];
        ++suspect.deaths;
        suspect.deaths_alone += distinct.size() == 1 ? 1 : 0;
        suspect.trial_running = false;
        suspect.last_death = now;
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
    std::vector<request_digest> digests;
    for (const auto& [digest, suspect] : entries_)
    {
        const bool expired = now - suspect.last_death >= retention;
        const auto repeats = std::min(suspect.deaths, deaths_to_refuse);
        if (suspect.deaths_alone > 0 && !expired &&
            digests.size() + repeats <= max_published)
        {
            digests.insert(digests.end(), repeats, digest);
        }
    }
    return digests;
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
    // Evicts the entry with the fewest proven deaths; among equals, the one
    // with the oldest death.
    const auto rank = [](const auto& item)
    {
        return std::pair{
            std::min(item.second.deaths_alone, deaths_to_refuse),
            item.second.last_death};
    };
    entries_.erase(std::ranges::min_element(entries_, {}, rank));
}

} // namespace waxwingvalve::decision::retries
