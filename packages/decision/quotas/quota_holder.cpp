#include "decision/quotas/quota_holder.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace waxwingvalve::decision::quotas
{
namespace
{

using seconds = std::chrono::duration<double>;

// Time constant of the moving average of an account's requests.
constexpr seconds rate_time_constant{1.0};
// Tokens are leased when less than this part of what is to be held is left.
constexpr double renewal_part = 0.5;
constexpr std::uint32_t max_tokens = std::numeric_limits<std::uint16_t>::max();

std::uint16_t bounded(std::uint32_t tokens)
{
    return static_cast<std::uint16_t>(std::min(tokens, max_tokens));
}

} // namespace

void quota_holder::count_request(account_state& state, base::instant now)
{
    state.requests_per_s =
        rate_of(state, now) + 1.0 / rate_time_constant.count();
    state.rate_at = now;
    state.used_at = now;
}

double quota_holder::rate_of(const account_state& state, base::instant now)
{
    const seconds elapsed{now - state.rate_at};
    return state.requests_per_s * std::exp(-(elapsed / rate_time_constant));
}

// The owner counts tokens of a lease that has ended as spent.
void quota_holder::end_lease(account_state& state, base::instant now)
{
    if (now >= state.lease_ends_at)
    {
        state.tokens = 0;
    }
}

bool quota_holder::take_token(account_state& state, base::instant now)
{
    end_lease(state, now);
    if (state.tokens == 0)
    {
        return false;
    }
    --state.tokens;
    state.report_due_at =
        state.spent == 0 ? now + report_time : state.report_due_at;
    ++state.spent;
    return true;
}

spend_result quota_holder::spend_uncoordinated(
    account_digest account, account_state& state, base::instant now)
{
    const double rate = uncoordinated_share_ * state.limit.requests_per_s;
    uncoordinated_.set_rate(account, rate, false, now);
    if (rate > 0 && uncoordinated_.try_acquire(account, now))
    {
        return {spend_status::spent, {}, true};
    }
    return {spend_status::unconfirmed, silent_time};
}

spend_result quota_holder::spend(
    account_digest account, const quota_limit& limit, base::instant now)
{
    auto& state = accounts_[account];
    if (limit.requests_per_s < state.limit.requests_per_s)
    {
        // The owner counts none of the tokens of a higher limit.
        state.tokens = 0;
    }
    state.limit = limit;
    count_request(state, now);
    // Those that wait come first.
    if (state.waiting == 0 && take_token(state, now))
    {
        return {spend_status::spent, {}};
    }
    if (now < state.silent_until)
    {
        return spend_uncoordinated(account, state, now);
    }
    if (now < state.exceeded_until)
    {
        return {spend_status::exceeded, state.retry_after};
    }
    ++state.waiting;
    return {spend_status::pending, {}};
}

bool quota_holder::spend_at_once(account_digest account, base::instant now)
{
    const auto found = accounts_.find(account);
    return found != accounts_.end() && found->second.waiting == 0 &&
           take_token(found->second, now);
}

base::duration quota_holder::retry_after(account_digest account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end()
               ? ask_interval
               : std::max(found->second.retry_after, ask_interval);
}

void quota_holder::give_back(account_digest account)
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end())
    {
        return;
    }
    auto& state = found->second;
    const auto on_its_way = state.asked ? state.asked->request.spent : 0U;
    if (state.spent > on_its_way)
    {
        --state.spent;
        ++state.tokens;
        return;
    }
    ++state.returned;
}

void quota_holder::withdraw(account_digest account)
{
    const auto found = accounts_.find(account);
    if (found != accounts_.end() && found->second.waiting > 0)
    {
        --found->second.waiting;
    }
}

std::uint32_t quota_holder::tokens_ahead(
    const account_state& state, base::instant now)
{
    const double ahead = rate_of(state, now) * seconds{lease_ahead}.count();
    // One more, since requests come at random.
    return static_cast<std::uint32_t>(std::ceil(ahead)) + 1;
}

bool quota_holder::due(const account_state& state, base::instant now)
{
    const bool report = state.spent > 0 && now >= state.report_due_at;
    const bool low = state.spent > 0 &&
                     state.tokens < renewal_part * tokens_ahead(state, now);
    return now >= state.next_ask_at && (state.waiting > 0 || report || low);
}

std::optional<quota_holder::due_request> quota_holder::make_due(
    account_digest account, account_state& state, base::instant now)
{
    if (state.asked)
    {
        auto& asked = *state.asked;
        if (now < asked.resend_at)
        {
            return std::nullopt;
        }
        asked.resend_at = now + resend_time;
        return due_request{asked.request, asked.candidate};
    }
    end_lease(state, now);
    if (!due(state, now))
    {
        return std::nullopt;
    }
    const auto ahead = tokens_ahead(state, now);
    // What comes until the next request is refused otherwise.
    const auto next =
        state.exhausted
            ? static_cast<std::uint32_t>(
                  rate_of(state, now) * seconds{ask_interval}.count())
            : 0U;
    const schema::lease_request request{
        .account = account,
        .sequence = ++sequence_,
        .needed = bounded(state.waiting + next),
        .ahead = bounded(ahead - std::min(ahead, state.tokens)),
        .spent = bounded(state.spent),
        .returned = bounded(state.returned)};
    state.asked = pending_ask{
        .request = request,
        .first_sent_at = now,
        .resend_at = now + resend_time};
    return due_request{request, 0};
}

std::vector<quota_holder::due_request> quota_holder::due_requests(
    base::instant now)
{
    std::vector<due_request> due;
    for (auto& [account, state] : accounts_)
    {
        if (const auto one = make_due(account, state, now))
        {
            due.push_back(*one);
        }
    }
    return due;
}

std::optional<quota_holder::due_request> quota_holder::due_request_of(
    account_digest account, base::instant now)
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? std::nullopt
                                    : make_due(account, found->second, now);
}

// The waiting requests of a silent owner's account are paced.
lease_decision quota_holder::end_wait(
    account_digest account, account_state& state, base::instant now)
{
    lease_decision decision{.account = account, .paced = true};
    decision.refusal = {spend_status::unconfirmed, silent_time};
    for (; state.waiting > 0; --state.waiting)
    {
        const auto result = spend_uncoordinated(account, state, now);
        const bool spent = result.status == spend_status::spent;
        decision.spent += spent ? 1 : 0;
        decision.refused += spent ? 0 : 1;
    }
    return decision;
}

std::vector<lease_decision> quota_holder::overdue(base::instant now)
{
    std::vector<lease_decision> decisions;
    for (auto& [account, state] : accounts_)
    {
        const bool silent =
            state.asked && now - state.asked->first_sent_at >= answer_time;
        if (!silent)
        {
            continue;
        }
        // The owner may have taken these back already. What was spent is
        // reported again, which errs on the safe side.
        state.returned -= state.asked->request.returned;
        const bool ownerless = state.asked->ownerless;
        state.asked.reset();
        state.silent_until = now + (ownerless ? ownerless_time : silent_time);
        state.next_ask_at = state.silent_until;
        if (state.waiting > 0)
        {
            decisions.push_back(end_wait(account, state, now));
        }
    }
    return decisions;
}

void quota_holder::note_asked(account_digest account, std::uint64_t daemon)
{
    const auto found = accounts_.find(account);
    if (found != accounts_.end() && found->second.asked)
    {
        found->second.asked->daemon = daemon;
    }
}

void quota_holder::ask_next(pending_ask& asked, base::instant now)
{
    asked.daemon = 0;
    asked.candidate = (asked.candidate + 1) % max_candidates;
    asked.ownerless = asked.ownerless || asked.candidate == 0;
    asked.resend_at = asked.candidate == 0 ? now + resend_time : now;
}

std::optional<lease_decision> quota_holder::receive(
    const schema::lease_grant& grant,
    const quota_daemon& owner,
    base::instant now)
{
    const auto found = accounts_.find(grant.account);
    const bool expected =
        found != accounts_.end() && found->second.asked &&
        found->second.asked->request.sequence == grant.sequence;
    if (!expected)
    {
        return std::nullopt;
    }
    auto& state = found->second;
    if (grant.status == schema::lease_status::not_owner)
    {
        // It may have been asked twice.
        if (owner.key == state.asked->daemon)
        {
            ask_next(*state.asked, now);
        }
        return std::nullopt;
    }
    const auto asked = *std::exchange(state.asked, std::nullopt);
    state.silent_until = {};
    uncoordinated_.remove(grant.account);
    state.spent -= asked.request.spent;
    state.returned -= asked.request.returned;
    state.report_due_at = now + report_time;
    // A new owner knows nothing of tokens that the one before has granted.
    const bool same_owner = state.owner == owner;
    end_lease(state, now);
    state.tokens = (same_owner ? state.tokens : 0) + grant.tokens;
    state.owner = owner;
    state.lease_ends_at = asked.first_sent_at + lease_time - lease_margin;
    return divide_grant(grant, state, now);
}

// Gives the tokens to the waiting requests, and refuses the others of them if
// the owner has no more.
lease_decision quota_holder::divide_grant(
    const schema::lease_grant& grant, account_state& state, base::instant now)
{
    lease_decision decision{.account = grant.account};
    while (state.waiting > 0 && take_token(state, now))
    {
        --state.waiting;
        ++decision.spent;
    }
    state.exhausted = grant.retry_after_ms > 0;
    state.next_ask_at = state.exhausted ? now + ask_interval : now;
    if (state.waiting > 0 && state.exhausted)
    {
        state.exceeded_until = state.next_ask_at;
        state.retry_after = std::chrono::milliseconds{grant.retry_after_ms};
        decision.refusal = {spend_status::exceeded, state.retry_after};
        decision.refused = std::exchange(state.waiting, 0);
    }
    return decision;
}

void quota_holder::remove_idle(base::instant before)
{
    std::erase_if(
        accounts_,
        [&](const auto& item)
        {
            const auto& state = item.second;
            const bool idle = state.waiting == 0 && state.used_at < before;
            if (idle)
            {
                uncoordinated_.remove(item.first);
            }
            return idle;
        });
}

} // namespace waxwingvalve::decision::quotas
