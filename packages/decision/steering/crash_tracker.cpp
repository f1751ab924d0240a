#include "decision/steering/crash_tracker.hpp"

#include <algorithm>

namespace waxwingvalve::decision::steering
{

namespace
{

bool same_worker(const worker_crash& one, const worker_crash& other)
{
    return one.worker != 0 && one.worker == other.worker;
}

bool overlap(const worker_crash& one, const worker_crash& other)
{
    return one.sent_at < other.ended_at && other.sent_at < one.ended_at;
}

// The same on every daemon, and different from the id of the crash.
std::uint64_t answer_id(const worker_crash& refuted)
{
    return ~refuted.id;
}

} // namespace

bool crash_tracker::record_crash(const worker_crash& crash)
{
    auto& known = suspicion_of(crash.digest, crash.ended_at);
    const bool refuted = crash.sent_at <= known.answered_at;
    const bool counted = std::ranges::any_of(
        known.crashes,
        [&](const worker_crash& earlier)
        { return same_worker(earlier, crash) || overlap(earlier, crash); });
    if (refuted || counted || known.crashes.size() >= refusal_threshold)
    {
        return false;
    }
    known.crashes.push_back(crash);
    return true;
}

std::optional<suspect_answer> crash_tracker::record_answer(
    request_digest digest, base::instant now)
{
    const auto found = suspicions_.find(digest);
    if (found == suspicions_.end() || found->second.crashes.empty())
    {
        return std::nullopt;
    }
    const suspect_answer answer{
        answer_id(found->second.crashes.back()), digest, now};
    record_remote_answer(answer);
    return answer;
}

void crash_tracker::record_remote_answer(const suspect_answer& answer)
{
    auto& known = suspicion_of(answer.digest, answer.answered_at);
    known.answered_at = std::max(known.answered_at, answer.answered_at);
    std::erase_if(
        known.crashes,
        [&](const worker_crash& crash)
        { return crash.sent_at <= known.answered_at; });
}

bool crash_tracker::is_poisonous(request_digest digest) const
{
    const auto found = suspicions_.find(digest);
    return found != suspicions_.end() &&
           found->second.crashes.size() >= refusal_threshold;
}

crash_tracker::suspicion& crash_tracker::suspicion_of(
    request_digest digest, base::instant now)
{
    evict_old(now);
    auto& known = suspicions_[digest];
    known.updated_at = std::max(known.updated_at, now);
    return known;
}

void crash_tracker::evict_old(base::instant now)
{
    std::erase_if(
        suspicions_,
        [&](const auto& item)
        { return now - item.second.updated_at > retention_time; });
    if (suspicions_.size() < max_digests)
    {
        return;
    }
    // Requests that were answered go before those that still may crash
    // workers.
    const auto age = [](const auto& item) {
        return std::pair{!item.second.crashes.empty(), item.second.updated_at};
    };
    suspicions_.erase(std::ranges::min_element(suspicions_, {}, age));
}

} // namespace waxwingvalve::decision::steering
