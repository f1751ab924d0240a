// The token of its account's quota that a request needs to be sent.
//
// A token is taken before the first send and kept while no worker can have run
// the request. A send after that needs another one. What was not spent when the
// request ends goes back.
//
// Not thread-safe: used only from the daemon's event loop.
#pragma once

#include <functional>
#include <memory>

#include "base/time.hpp"
#include "decision/accounts/client_account.hpp"
#include "front/quota_exchange.hpp"

namespace waxwingvalve::front
{

class request_quota
{
public:
    using result = decision::quotas::spend_result;
    using handler = std::function<void(const result&)>;

    explicit request_quota(quota_exchange& exchange) : exchange_{exchange} {}
    ~request_quota() { release(); }
    request_quota(const request_quota&) = delete;
    request_quota& operator=(const request_quota&) = delete;

    // Takes a token of the account, which may be null or without a quota.
    // `decided` is called once, at the earliest during the call, unless
    // release() is called before.
    void acquire(
        std::shared_ptr<const decision::accounts::client_account> account,
        const handler& decided);
    // Whether a further send may be made. Takes another token if the first is
    // spent.
    bool acquire_again();
    // A worker may have run the request: its token is spent.
    void spend();
    // The request has ended, or is not going to be sent.
    void release();

    // When a token is likely, after acquire_again returned false.
    base::duration retry_after() const;

private:
    bool limited() const { return account_ && account_->requests_per_s > 0; }
    void decide(const result& decision, const handler& decided);
    void give_back();

    quota_exchange& exchange_;
    std::shared_ptr<const decision::accounts::client_account> account_;
    // Not null while the request waits for a token.
    std::shared_ptr<quota_wait> wait_;
    // A token is taken for the next send.
    bool held_{false};
    base::instant taken_at_{};
    // The next send needs none: no owner answered, and it is paced.
    bool paced_{false};
};

} // namespace waxwingvalve::front
