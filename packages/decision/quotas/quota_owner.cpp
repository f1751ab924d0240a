#include "decision/quotas/quota_owner.hpp"

#include <algorithm>
#include <limits>

namespace waxwingvalve::decision::quotas
{
namespace
{

using seconds = std::chrono::duration<double>;

// Accounts that nobody has asked for in this time are forgotten.
constexpr base::duration idle_time{std::chrono::seconds{60}};
// So many tokens may go to one holder, also if others ask, too.
constexpr double undivided_tokens = 4;
// Tokens for requests to come are granted only while this part of a window's is
// left, and little of the bucket is used.
constexpr double reserved_part = 0.25;

std::uint16_t whole_tokens(double tokens)
{
    constexpr double most = std::numeric_limits<std::uint16_t>::max();
    // Sums of slices are a little off.
    constexpr double rounding = 1e-6;
    return static_cast<std::uint16_t>(std::clamp(tokens + rounding, 0.0, most));
}

// Of the available tokens, what one holder gets for requests that wait.
std::uint16_t divide(double available, std::uint16_t needed)
{
    const double most =
        std::min(available, std::max(undivided_tokens, available / 2));
    return std::min(needed, whole_tokens(most));
}

} // namespace

spent_window::spent_window(base::duration window)
    : slices_(static_cast<std::size_t>(window / slice) + 1)
{
}

void spent_window::advance(base::instant now)
{
    const std::int64_t number = now.time_since_epoch() / slice;
    const auto size = static_cast<std::int64_t>(slices_.size());
    const auto passed = std::min(number - newest_, size);
    for (std::int64_t i = 0; i < passed; ++i)
    {
        auto& oldest = slices_[static_cast<std::size_t>((number - i) % size)];
        sum_ -= oldest;
        oldest = 0;
    }
    newest_ = std::max(newest_, number);
}

void spent_window::add(double tokens, base::instant now)
{
    advance(now);
    slices_[static_cast<std::size_t>(newest_) % slices_.size()] += tokens;
    sum_ += tokens;
}

void spent_window::remove(double tokens, base::instant now)
{
    advance(now);
    for (std::size_t i = 1; i <= slices_.size() && tokens > 0; ++i)
    {
        auto& one =
            slices_[(static_cast<std::size_t>(newest_) + i) % slices_.size()];
        const double taken = std::min(one, tokens);
        one -= taken;
        sum_ -= taken;
        tokens -= taken;
    }
}

void spent_window::spread(double tokens, base::instant now)
{
    advance(now);
    const double each = tokens / static_cast<double>(slices_.size());
    for (auto& one : slices_)
    {
        one += each;
    }
    sum_ += tokens;
}

void spent_window::scale(double part)
{
    for (auto& one : slices_)
    {
        one *= part;
    }
    sum_ *= part;
}

double spent_window::count(base::instant now)
{
    advance(now);
    return sum_;
}

// Notes when the daemons that are heard have changed.
void quota_owner::follow(const quota_fleet& fleet, base::instant now)
{
    std::uint64_t digest = 0;
    bool restarted = false;
    for (const auto& one : fleet.members)
    {
        // In any order.
        digest += one.silence <= quota_silence ? one.key | 1 : 0;
        restarted = restarted ||
                    (one.key != fleet.self && one.known_for < quota_silence);
    }
    if (digest != fleet_digest_ || restarted)
    {
        fleet_digest_ = digest;
        fleet_since_ = now;
    }
}

quota_owner::account_state& quota_owner::state_of(
    account_digest account,
    const quota_limit& limit,
    const quota_fleet& fleet,
    base::instant now)
{
    const auto [found, added] =
        accounts_.try_emplace(account, limit, terms_.window);
    auto& state = found->second;
    if (state.limit != limit)
    {
        change_limit(state, limit);
    }
    if (added)
    {
        follow(fleet, now);
    }
    const double initial = initial_tokens(limit, terms_);
    if (added)
    {
        state.bucket = bucket_capacity(limit, false);
        state.filled_at = now;
    }
    // An owner before may have granted the tokens of a window.
    if (added && now - fleet_since_ < terms_.window)
    {
        state.bucket = initial;
        state.spent.spread(tokens_of_window(limit, terms_) - initial, now);
    }
    state.asked_at = now;
    return state;
}

// Tokens for a burst are not saved while another daemon may grant them, too.
double quota_owner::bucket_capacity(
    const quota_limit& limit, bool for_another) const
{
    return (for_another ? 0 : limit.burst) + initial_tokens(limit, terms_);
}

void quota_owner::fill_bucket(
    account_state& state, const ownership& own, base::instant now) const
{
    const seconds elapsed{now - state.filled_at};
    const double tokens_per_s = own.share *
                                tokens_of_window(state.limit, terms_) /
                                seconds{terms_.window}.count();
    state.bucket = std::min(
        state.bucket + tokens_per_s * elapsed.count(),
        bucket_capacity(state.limit, own.for_another));
    state.filled_at = now;
}

// A lower limit binds after a window. What was spent and is held under the one
// before would leave nothing of it until then.
void quota_owner::change_limit(
    account_state& state, const quota_limit& limit) const
{
    const double part =
        tokens_of_window(limit, terms_) / tokens_of_window(state.limit, terms_);
    state.limit = limit;
    if (part >= 1)
    {
        return;
    }
    state.spent.scale(part);
    state.held = 0;
    for (auto& [key, one] : state.leases)
    {
        one.held = 0;
    }
}

// What a holder has not reported by then counts as spent.
void quota_owner::end_leases(account_state& state, base::instant now)
{
    if (now < state.next_end)
    {
        return;
    }
    state.next_end = base::instant::max();
    for (auto& [key, one] : state.leases)
    {
        if (one.held > 0 && one.ends_at <= now)
        {
            state.spent.add(one.held, now);
            state.held -= one.held;
            one.held = 0;
        }
        if (one.held > 0)
        {
            state.next_end = std::min(state.next_end, one.ends_at);
        }
    }
}

void quota_owner::record_report(
    account_state& state,
    lease& of,
    const schema::lease_request& request,
    base::instant now)
{
    const auto reported = std::min<std::uint32_t>(request.spent, of.held);
    of.held -= reported;
    state.held -= reported;
    // Those that an owner before had granted count, too.
    state.spent.add(request.spent, now);
    state.spent.remove(request.returned, now);
    state.bucket += request.returned;
}

base::duration quota_owner::foresee(
    account_state& state,
    double missing_tokens,
    double tokens_per_s,
    base::instant now)
{
    const seconds earned{missing_tokens / tokens_per_s};
    const seconds bounded = std::min(earned, seconds{max_retry_after});
    const auto until = std::max(state.foreseen_until, now) +
                       std::chrono::duration_cast<base::duration>(bounded);
    state.foreseen_until = std::min(until, now + max_retry_after);
    return state.foreseen_until - now;
}

schema::lease_grant quota_owner::grant(
    const schema::lease_request& request,
    const quota_daemon& holder,
    const quota_limit& limit,
    const quota_fleet& fleet,
    base::instant now)
{
    const ownership own{
        owned_share(request.account, fleet),
        owns_for_another(request.account, fleet)};
    if (own.share <= 0)
    {
        return {
            .account = request.account,
            .sequence = request.sequence,
            .status = schema::lease_status::not_owner};
    }
    forget_after_pause(now);
    auto& state = state_of(request.account, limit, fleet, now);
    end_leases(state, now);
    auto& one = state.leases[holder.key];
    if (one.incarnation != holder.incarnation)
    {
        // Its former start may have spent all that it held.
        state.spent.add(one.held, now);
        state.held -= one.held;
        one = {.incarnation = holder.incarnation};
    }
    else if (request.sequence <= one.latest.sequence)
    {
        // It comes again, or late.
        return one.latest;
    }
    record_report(state, one, request, now);
    one.latest = grant_from(state, one, request, own, now);
    return one.latest;
}

schema::lease_grant quota_owner::grant_from(
    account_state& state,
    lease& to,
    const schema::lease_request& request,
    const ownership& own,
    base::instant now) const
{
    const double all_tokens = tokens_of_window(state.limit, terms_);
    const double own_tokens = own.share * all_tokens;
    fill_bucket(state, own, now);
    const double used = state.spent.count(now) + state.held;
    const double available = std::min(own_tokens - used, state.bucket);
    const auto needed = divide(available, request.needed);
    const double capacity = bucket_capacity(state.limit, own.for_another);
    const double unreserved = std::min(
        own_tokens * (1 - reserved_part) - used,
        state.bucket - (1 - reserved_part) * capacity);
    const auto ahead =
        std::min(request.ahead, whole_tokens(unreserved - needed));
    const auto granted = static_cast<std::uint32_t>(needed) + ahead;
    state.bucket -= granted;
    to.held += granted;
    state.held += granted;
    to.ends_at = now + lease_time;
    state.next_end = std::min(state.next_end, to.ends_at);
    schema::lease_grant grant{
        .account = request.account,
        .sequence = request.sequence,
        .tokens = whole_tokens(granted)};
    const bool exhausted = whole_tokens(available - needed) == 0;
    if (needed < request.needed && exhausted)
    {
        const auto wait = foresee(
            state,
            request.needed - needed,
            all_tokens / seconds{terms_.window}.count(),
            now);
        grant.retry_after_ms = static_cast<std::uint32_t>(
            std::max<std::int64_t>(base::to_milliseconds(wait), 1));
    }
    return grant;
}

// After a pause of the process a request may come before the refresh that is
// due.
void quota_owner::forget_after_pause(base::instant now)
{
    if (now - refreshed_at_ <= max_refresh_pause)
    {
        return;
    }
    accounts_.clear();
    fleet_since_ = now;
    refreshed_at_ = now;
}

void quota_owner::refresh(const quota_fleet& fleet, base::instant now)
{
    follow(fleet, now);
    forget_after_pause(now);
    refreshed_at_ = now;
    std::erase_if(
        accounts_,
        [&](const auto& item)
        {
            const auto& [account, state] = item;
            return now - state.asked_at > idle_time ||
                   owned_share(account, fleet) <= 0;
        });
    for (auto& [account, state] : accounts_)
    {
        std::erase_if(
            state.leases,
            [&](const auto& item)
            {
                const auto& one = item.second;
                return one.held == 0 && one.ends_at + lease_time < now;
            });
    }
}

} // namespace waxwingvalve::decision::quotas
