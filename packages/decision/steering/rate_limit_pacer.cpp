#include "decision/steering/rate_limit_pacer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "decision/steering/worker_choice.hpp"

namespace waxwingvalve::decision::steering
{
namespace
{

using known_member = fleet_members::known_member;

bool is_heard(const known_member& one)
{
    return one.silence <= rate_limit_pacer::heard_silence;
}

// The daemons that may become senders: those of the worker's region, or all if
// there are none.
std::vector<std::string_view> possible_senders(
    std::span<const known_member> daemons, std::string_view worker_region)
{
    std::vector<std::string_view> all;
    std::vector<std::string_view> near;
    for (const auto& one : daemons)
    {
        if (one.silence > rate_limit_pacer::takeover_silence)
        {
            continue;
        }
        all.emplace_back(one.name);
        if (one.region == worker_region)
        {
            near.emplace_back(one.name);
        }
    }
    return near.empty() ? all : near;
}

} // namespace

std::size_t rate_limit_pacer::sender_count(double requests_per_s)
{
    constexpr double max_extra = 10'000;
    return min_senders +
           static_cast<std::size_t>(std::clamp(requests_per_s, 0.0, max_extra));
}

double rate_limit_pacer::share_of(
    std::string_view worker_id,
    std::string_view worker_region,
    double requests_per_s,
    const sender_view& fleet)
{
    const auto self =
        std::ranges::find(fleet.daemons, fleet.self, &known_member::name);
    if (!fleet.may_send || self == fleet.daemons.end())
    {
        return 0;
    }
    const auto known = fleet.daemons.size();
    if (known == 1)
    {
        return fleet.others_expected ? 1.0 / assumed_daemons : 1.0;
    }
    const auto heard = static_cast<std::size_t>(
        std::ranges::count_if(fleet.daemons, is_heard));
    if (2 * heard <= known)
    {
        return 1.0 / static_cast<double>(known);
    }
    const auto possible = possible_senders(fleet.daemons, worker_region);
    if (std::ranges::find(possible, fleet.self) == possible.end())
    {
        return 0;
    }
    const double own_rank = hash_rank(worker_id, fleet.self);
    const auto preceding = static_cast<std::size_t>(std::ranges::count_if(
        possible,
        [&](std::string_view name)
        { return hash_rank(worker_id, name) < own_rank; }));
    const auto senders =
        std::min(sender_count(requests_per_s), possible.size());
    return preceding < senders ? 1.0 / static_cast<double>(senders) : 0.0;
}

base::duration rate_limit_pacer::interval(double requests_per_s)
{
    constexpr std::chrono::duration<double> longest{std::chrono::hours{1}};
    const std::chrono::duration<double> span{1.0 / requests_per_s};
    return std::chrono::duration_cast<base::duration>(std::min(span, longest));
}

void rate_limit_pacer::set_rate(
    worker_digest worker,
    double requests_per_s,
    bool just_sent,
    base::instant now)
{
    auto& known = workers_[worker];
    const double previous = std::exchange(known.requests_per_s, requests_per_s);
    if (requests_per_s <= 0 || previous == requests_per_s)
    {
        return;
    }
    if (previous > 0)
    {
        // Counts from the last request on.
        known.due += interval(requests_per_s) - interval(previous);
        return;
    }
    std::uniform_real_distribution<double> part{0.0, 1.0};
    const double wait = just_sent ? 1.0 : part(random_);
    known.due = now + std::chrono::duration_cast<base::duration>(
                          interval(requests_per_s) * wait);
}

void rate_limit_pacer::remove_others(
    const std::map<worker_digest, rate_limit>& limits)
{
    std::erase_if(
        workers_,
        [&](const auto& item) { return !limits.contains(item.first); });
}

bool rate_limit_pacer::allows(worker_digest worker, base::instant now) const
{
    const auto known = workers_.find(worker);
    return known == workers_.end() ||
           (known->second.requests_per_s > 0 && now >= known->second.due);
}

bool rate_limit_pacer::try_acquire(worker_digest worker, base::instant now)
{
    const auto known = workers_.find(worker);
    if (known == workers_.end())
    {
        return true;
    }
    if (!allows(worker, now))
    {
        return false;
    }
    known->second.due = now + interval(known->second.requests_per_s);
    return true;
}

double rate_limit_pacer::claim(worker_digest worker, base::instant now) const
{
    const auto known = workers_.find(worker);
    if (known == workers_.end() || !allows(worker, now))
    {
        return 0;
    }
    // After half of the time between two requests any object will do.
    const std::chrono::duration<double> unused{now - known->second.due};
    const std::chrono::duration<double> span{
        interval(known->second.requests_per_s)};
    return std::min(2 * (unused / span), 1.0);
}

} // namespace waxwingvalve::decision::steering
