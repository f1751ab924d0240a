#include "decision/quotas/quota_limit.hpp"

#include <xxhash.h>

namespace waxwingvalve::decision::quotas
{
namespace
{

using seconds = std::chrono::duration<double>;

constexpr double overshoot_part = 0.3;
constexpr double slack_part = 0.6;
constexpr double initial_overshoot_part = 0.1;
constexpr double initial_slack_part = 0.25;

double quota_of_window(const quota_limit& limit, const quota_terms& terms)
{
    return limit.requests_per_s * seconds{terms.window}.count() + limit.burst;
}

} // namespace

double tokens_of_window(const quota_limit& limit, const quota_terms& terms)
{
    return quota_of_window(limit, terms) *
               (1 + overshoot_part * terms.overshoot) +
           slack_part * terms.slack;
}

double initial_tokens(const quota_limit& limit, const quota_terms& terms)
{
    return initial_overshoot_part * terms.overshoot *
               quota_of_window(limit, terms) +
           initial_slack_part * terms.slack;
}

account_digest digest_of_account(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace waxwingvalve::decision::quotas
