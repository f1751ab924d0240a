#include "decision/quotas/quota_owner.hpp"

#include <algorithm>

namespace waxwingvalve::decision::quotas
{
namespace
{

using seconds = std::chrono::duration<double>;

// So many tokens may go to one holder.
constexpr double undivided_tokens = 4;

} // namespace

quota_owner::bucket& quota_owner::fill(
    account_digest account,
    const quota_limit& limit,
    double share,
    base::instant now)
{
    const auto [found, added] = buckets_.try_emplace(account);
    auto& filled = found->second;
    if (added)
    {
        filled.tokens = initial_tokens(limit, terms_);
        filled.filled_at = now;
    }
    const seconds elapsed{now - filled.filled_at};
    filled.tokens = std::min(
        filled.tokens + share * limit.requests_per_s * elapsed.count(),
        bucket_capacity(limit, terms_));
    filled.filled_at = now;
    filled.asked_at = now;
    return filled;
}

// One holder takes no more than half of many tokens at once: others ask, too.
std::uint16_t quota_owner::take(bucket& from, std::uint16_t wanted)
{
    const double most =
        std::min(from.tokens, std::max(undivided_tokens, from.tokens / 2));
    const auto granted =
        static_cast<std::uint16_t>(std::min(static_cast<double>(wanted), most));
    from.tokens -= granted;
    return granted;
}

base::duration quota_owner::foresee(
    bucket& from,
    std::uint32_t missing_tokens,
    double requests_per_s,
    base::instant now)
{
    const double first = std::max(0.0, 1.0 - from.tokens);
    const seconds earned{
        std::max(static_cast<double>(missing_tokens), first) / requests_per_s};
    const seconds bounded = std::min(earned, seconds{max_retry_after});
    const auto until = std::max(from.foreseen_until, now) +
                       std::chrono::duration_cast<base::duration>(bounded);
    from.foreseen_until = std::min(until, now + max_retry_after);
    return from.foreseen_until - now;
}

schema::lease_grant quota_owner::grant(
    const schema::lease_request& request,
    const lease_holder& holder,
    const quota_limit& limit,
    double share,
    base::instant now)
{
    auto& from = fill(request.account, limit, share, now);
    auto& latest = from.holders[holder.key];
    const bool same_start = latest.incarnation == holder.incarnation;
    // It comes again, or late.
    if (same_start && request.sequence <= latest.grant.sequence)
    {
        return latest.grant;
    }
    if (same_start)
    {
        // No more than what it got comes back.
        const auto returned =
            std::min(request.returned_tokens, latest.grant.tokens);
        from.tokens =
            std::min(from.tokens + returned, bucket_capacity(limit, terms_));
    }
    schema::lease_grant granted{
        .account = request.account, .sequence = request.sequence};
    granted.tokens = take(from, request.wanted_tokens);
    const std::uint32_t missing = request.wanted_tokens - granted.tokens;
    if (missing > 0)
    {
        const auto wait = foresee(from, missing, limit.requests_per_s, now);
        granted.retry_after_ms =
            static_cast<std::uint32_t>(base::to_milliseconds(wait));
    }
    latest = {holder.incarnation, granted};
    return granted;
}

void quota_owner::remove_idle(base::instant before)
{
    std::erase_if(
        buckets_,
        [&](const auto& item) { return item.second.asked_at < before; });
}

} // namespace waxwingvalve::decision::quotas
