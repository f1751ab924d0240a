// Grants leases of the tokens of the accounts that this daemon owns.
//
// An account may use so many tokens in any window. Counted are those that
// holders report as spent, at the time of the report, and those that they still
// hold. So tokens that are held where no request comes cost nothing for good,
// and what all holders spend in a window is at most its tokens and what was
// reported late.
//
// A token bucket spreads the tokens of a window over it: the next owner does
// not know what the one before has granted of them, and adds its own.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"
#include "decision/quotas/quota_limit.hpp"
#include "decision/quotas/quota_ranking.hpp"
#include "schema/quota.hpp"

namespace waxwingvalve::decision::quotas
{

// Tokens that were spent in the last window, in slices of time.
class spent_window
{
public:
    static constexpr base::duration slice{std::chrono::milliseconds{100}};

    explicit spent_window(base::duration window);

    void add(double tokens, base::instant now);
    // Takes tokens back, from the oldest slices on.
    void remove(double tokens, base::instant now);
    // As if so many tokens had been spent evenly over the last window.
    void spread(double tokens, base::instant now);
    // As if this part of the tokens had been spent.
    void scale(double part);
    double count(base::instant now);

private:
    void advance(base::instant now);

    // One more than the window has, since the oldest is only partly in it.
    std::vector<double> slices_;
    std::int64_t newest_{0};
    double sum_{0};
};

class quota_owner
{
public:
    // A longer wait is not foreseen.
    static constexpr base::duration max_retry_after{std::chrono::seconds{5}};

    // refresh is to be called this often. After a longer pause this daemon may
    // have stood still while another one owned its accounts.
    static constexpr base::duration refresh_interval{
        std::chrono::milliseconds{500}};
    static constexpr base::duration max_refresh_pause{
        std::chrono::milliseconds{1'500}};

    explicit quota_owner(const quota_terms& terms) : terms_{terms} {}

    // Forgets the accounts that this daemon does not own any more, and those
    // that nobody has asked for since a while.
    void refresh(const quota_fleet& fleet, base::instant now);

    // The answer to a holder: `not_owner` if this daemon does not own the
    // account. A request that comes again gets the same grant again.
    schema::lease_grant grant(
        const schema::lease_request& request,
        const quota_daemon& holder,
        const quota_limit& limit,
        const quota_fleet& fleet,
        base::instant now);

    std::size_t size() const { return accounts_.size(); }

private:
    struct lease
    {
        std::uint64_t incarnation{};
        // Tokens that the holder has and has not reported as spent.
        std::uint32_t held{};
        base::instant ends_at{};
        schema::lease_grant latest{};
    };
    struct account_state
    {
        account_state(const quota_limit& known_limit, base::duration window)
            : limit{known_limit}, spent{window}
        {
        }

        quota_limit limit;
        spent_window spent;
        // Tokens that may be granted at once.
        double bucket{0};
        base::instant filled_at{};
        // Sum of what all holders hold.
        std::uint32_t held{};
        base::instant next_end{base::instant::max()};
        base::instant asked_at{};
        // Until then the tokens to come are foreseen for those who were told to
        // return.
        base::instant foreseen_until{};
        std::unordered_map<std::uint64_t, lease> leases{};
    };

    // What this daemon may grant now.
    struct ownership
    {
        // Of the account's tokens, in (0, 1].
        double share{};
        // The daemon that is to own the account may have granted some of them
        // meanwhile.
        bool for_another{};
    };

    double bucket_capacity(const quota_limit& limit, bool for_another) const;
    void fill_bucket(
        account_state& state, const ownership& own, base::instant now) const;
    void follow(const quota_fleet& fleet, base::instant now);
    void forget_after_pause(base::instant now);
    account_state& state_of(
        account_digest account,
        const quota_limit& limit,
        const quota_fleet& fleet,
        base::instant now);
    schema::lease_grant grant_from(
        account_state& state,
        lease& to,
        const schema::lease_request& request,
        const ownership& own,
        base::instant now) const;
    void change_limit(account_state& state, const quota_limit& limit) const;
    static void end_leases(account_state& state, base::instant now);
    static void record_report(
        account_state& state,
        lease& of,
        const schema::lease_request& request,
        base::instant now);
    static base::duration foresee(
        account_state& state,
        double missing_tokens,
        double tokens_per_s,
        base::instant now);

    quota_terms terms_;
    base::instant refreshed_at_{};
    // Of the daemons that were heard at the latest refresh.
    std::uint64_t fleet_digest_{};
    // Since then the same daemons were heard.
    base::instant fleet_since_{};
    std::map<account_digest, account_state> accounts_;
};

} // namespace waxwingvalve::decision::quotas
