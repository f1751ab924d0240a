// The quota of a client account, and what it may be passed by.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/time.hpp"

namespace waxwingvalve::decision::quotas
{

// What the callers of one account may send, over all daemons together.
struct quota_limit
{
    double requests_per_s{};
    // Requests beyond the rate, after a pause.
    double burst{};

    // Accounts without a rate have no limit.
    bool limited() const { return requests_per_s > 0; }

    friend bool operator==(const quota_limit&, const quota_limit&) = default;
};

// In any window the requests of an account may be (rate x window + burst) x
// (1 + overshoot) + slack.
struct quota_terms
{
    base::duration window{std::chrono::seconds{5}};
    double overshoot{0.1};
    // Requests.
    double slack{20};
};

// How much of what the terms allow beyond the quota goes where.

// How long leased tokens may be spent: half of it, since what is leased before
// a window may be spent in it.
base::duration lease_time(const quota_limit& limit, const quota_terms& terms);
// Tokens of a full bucket: the burst and a quarter of it. Quotas of a few
// requests a second would otherwise refuse callers that come at random.
double bucket_capacity(const quota_limit& limit, const quota_terms& terms);
// Tokens that a new owner begins with: a quarter of it. The owner before may
// have granted the whole burst just now.
double initial_tokens(const quota_limit& limit, const quota_terms& terms);

using account_digest = std::uint64_t;
account_digest digest_of_account(std::string_view name);

} // namespace waxwingvalve::decision::quotas
