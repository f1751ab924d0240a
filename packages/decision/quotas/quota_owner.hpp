// Grants leases of the tokens of the accounts that this daemon owns.
//
// Each account has a token bucket. Its tokens are debited when they are
// granted, so that what all holders spend in a window is at most what the
// bucket earns in it, its burst, and the leases that are out at its start.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "base/time.hpp"
#include "decision/quotas/quota_limit.hpp"
#include "schema/quota.hpp"

namespace waxwingvalve::decision::quotas
{

// The daemon that asks.
struct lease_holder
{
    // Digest of its name.
    std::uint64_t key{};
    std::uint64_t incarnation{};
};

class quota_owner
{
public:
    // A longer wait is not foreseen.
    static constexpr base::duration max_retry_after{std::chrono::seconds{5}};

    explicit quota_owner(const quota_terms& terms) : terms_{terms} {}

    // `share`: the part of the rate at which the bucket fills now. A request
    // that comes again gets the same grant again.
    schema::lease_grant grant(
        const schema::lease_request& request,
        const lease_holder& holder,
        const quota_limit& limit,
        double share,
        base::instant now);

    // Forgets accounts that nobody has asked for since `before`.
    void remove_idle(base::instant before);
    std::size_t size() const { return buckets_.size(); }

private:
    struct latest_grant
    {
        std::uint64_t incarnation{};
        schema::lease_grant grant{};
    };
    struct bucket
    {
        double tokens{};
        base::instant filled_at{};
        base::instant asked_at{};
        // Until then the tokens to come are foreseen for those who were told to
        // return.
        base::instant foreseen_until{};
        std::unordered_map<std::uint64_t, latest_grant> holders{};
    };

    bucket& fill(
        account_digest account,
        const quota_limit& limit,
        double share,
        base::instant now);
    static std::uint16_t take(bucket& from, std::uint16_t wanted);
    static base::duration foresee(
        bucket& from,
        std::uint32_t missing_tokens,
        double requests_per_s,
        base::instant now);

    quota_terms terms_;
    std::map<account_digest, bucket> buckets_;
};

} // namespace waxwingvalve::decision::quotas
