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

// How long leased tokens may be spent. Owners count them until then, and
// holders drop them a little earlier.
inline constexpr base::duration lease_time{std::chrono::seconds{5}};
inline constexpr base::duration lease_margin{std::chrono::milliseconds{500}};

// Tokens that an owner grants in a window. The rest of what the
// terms allow is for the time that requests and reports of them are on their
// way, and for changes of the owner.
double tokens_of_window(const quota_limit& limit, const quota_terms& terms);
// Of these, what a new owner begins with: the one before it may have granted
// the others.
double initial_tokens(const quota_limit& limit, const quota_terms& terms);

// A daemon that holds or owns tokens.
struct quota_daemon
{
    // Digest of its name.
    std::uint64_t key{};
    // Of its start.
    std::uint64_t incarnation{};

    friend bool operator==(const quota_daemon&, const quota_daemon&) = default;
};

using account_digest = std::uint64_t;
account_digest digest_of_account(std::string_view name);

} // namespace waxwingvalve::decision::quotas
