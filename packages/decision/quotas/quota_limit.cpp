#include "decision/quotas/quota_limit.hpp"

#include <algorithm>

#include <xxhash.h>

namespace waxwingvalve::decision::quotas
{
namespace
{

using seconds = std::chrono::duration<double>;

// Shorter leases would end before they arrive in another region.
constexpr seconds min_lease_time{0.3};
constexpr seconds max_lease_time{5.0};

constexpr double lease_part = 0.5;
constexpr double capacity_part = 0.25;
constexpr double initial_part = 0.25;

// What the terms allow in a window beyond the quota, in tokens.
double spare_tokens(const quota_limit& limit, const quota_terms& terms)
{
    const seconds window{terms.window};
    const double quota = limit.requests_per_s * window.count() + limit.burst;
    return terms.overshoot * quota + terms.slack;
}

} // namespace

base::duration lease_time(const quota_limit& limit, const quota_terms& terms)
{
    const seconds earned{
        lease_part * spare_tokens(limit, terms) / limit.requests_per_s};
    return std::chrono::duration_cast<base::duration>(
        std::clamp(earned, min_lease_time, max_lease_time));
}

double bucket_capacity(const quota_limit& limit, const quota_terms& terms)
{
    // A quota below one request a second has to reach a whole token, too.
    return std::max(
        limit.burst + capacity_part * spare_tokens(limit, terms), 1.0);
}

double initial_tokens(const quota_limit& limit, const quota_terms& terms)
{
    return initial_part * spare_tokens(limit, terms);
}

account_digest digest_of_account(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace waxwingvalve::decision::quotas
