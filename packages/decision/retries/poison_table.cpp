#include "decision/retries/poison_table.hpp"

#include <algorithm>

namespace waxwingvalve::decision::retries
{

poison_verdict poison_table::admit(
    request_digest digest, std::uint32_t told, base::instant now)
{
    forget(now);
    const auto found = entries_.find(digest);
    if (found == entries_.end() && told == 0)
    {
        return poison_verdict::clear;
    }
    const auto known = found == entries_.end() ? entry{} : found->second;
    const bool proven = known.deaths_alone + told > 0;
    if (proven && known.deaths + told >= deaths_to_refuse)
    {
        return poison_verdict::refuse;
    }
    if (known.trial_runs)
    {
        return poison_verdict::wait;
    }
    if (found == entries_.end())
    {
        make_room();
    }
    auto& one = entries_[digest];
    one.trial_runs = true;
    one.last_death = std::max(one.last_death, now - kept_for / 2);
    return poison_verdict::run_alone;
}

void poison_table::worker_died(
    std::span<const request_digest> running, base::instant now)
{
    forget(now);
    // Copies of one request count once for one death.
    std::vector<request_digest> distinct(running.begin(), running.end());
    std::ranges::sort(distinct);
    distinct.erase(
        std::unique(distinct.begin(), distinct.end()), distinct.end());
    for (const auto digest : distinct)
    {
        if (!entries_.contains(digest))
        {
            make_room();
        }
        auto& one = entries_[digest];
        ++one.deaths;
        one.deaths_alone += distinct.size() == 1 ? 1 : 0;
        one.trial_runs = false;
        one.last_death = now;
    }
}

void poison_table::ran_alone(request_digest digest)
{
    entries_.erase(digest);
}

void poison_table::give_up(request_digest digest)
{
    const auto found = entries_.find(digest);
    if (found == entries_.end())
    {
        return;
    }
    found->second.trial_runs = false;
    if (found->second.deaths == 0)
    {
        entries_.erase(found);
    }
}

std::vector<request_digest> poison_table::published(base::instant now) const
{
    std::vector<request_digest> out;
    for (const auto& [digest, one] : entries_)
    {
        const bool old = now - one.last_death >= kept_for;
        const auto times = std::min(one.deaths, deaths_to_refuse);
        if (one.deaths_alone > 0 && !old &&
            out.size() + times <= most_published)
        {
            out.insert(out.end(), times, digest);
        }
    }
    return out;
}

void poison_table::forget(base::instant now)
{
    std::erase_if(
        entries_,
        [&](const auto& item)
        { return now - item.second.last_death >= kept_for; });
}

void poison_table::make_room()
{
    if (entries_.size() < most_digests)
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
