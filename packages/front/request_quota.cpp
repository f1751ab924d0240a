#include "front/request_quota.hpp"

#include <utility>

namespace waxwingvalve::front
{

using decision::accounts::client_account;
using decision::quotas::spend_status;

namespace
{

// The owner of the account counts a token as spent for a window. Spent or given
// back later than that, it would be counted in none.
constexpr std::chrono::seconds max_token_age{4};

} // namespace

void request_quota::acquire(
    std::shared_ptr<const client_account> account, const handler& decided)
{
    account_ = std::move(account);
    if (!limited())
    {
        decided({.status = spend_status::spent});
        return;
    }
    wait_ = std::make_shared<quota_wait>();
    wait_->end = [this, decided](const result& decision)
    { decide(decision, decided); };
    const auto decision = exchange_.acquire(*account_, wait_);
    if (decision.status != spend_status::pending)
    {
        decide(decision, decided);
    }
}

void request_quota::decide(const result& decision, const handler& decided)
{
    // The wait owns the handler, and the handler may end this object.
    const auto wait = std::exchange(wait_, nullptr);
    const bool spent = decision.status == spend_status::spent;
    held_ = spent && !decision.paced;
    paced_ = spent && decision.paced;
    taken_at_ = base::monotonic_clock::now();
    decided(decision);
}

bool request_quota::acquire_again()
{
    if (!limited() || paced_)
    {
        return true;
    }
    const auto now = base::monotonic_clock::now();
    held_ = held_ && now - taken_at_ < max_token_age;
    if (held_)
    {
        return true;
    }
    held_ = exchange_.acquire_at_once(*account_);
    taken_at_ = now;
    return held_;
}

void request_quota::spend()
{
    held_ = false;
    paced_ = false;
}

void request_quota::release()
{
    if (wait_)
    {
        wait_->end = nullptr;
        const bool decided = wait_->decided;
        wait_.reset();
        if (!decided)
        {
            exchange_.withdraw(*account_);
        }
    }
    give_back();
}

void request_quota::give_back()
{
    const bool counted =
        base::monotonic_clock::now() - taken_at_ < max_token_age;
    if (std::exchange(held_, false) && counted)
    {
        exchange_.give_back(*account_);
    }
}

base::duration request_quota::retry_after() const
{
    return exchange_.retry_after(*account_);
}

} // namespace waxwingvalve::front
