// Spends the tokens of client accounts that this daemon has leased from their
// owners.
//
// A request that finds no token waits for a lease, one round trip to the owner.
// So that few have to, a daemon to which requests of the account come leases
// ahead. Only one request for a lease of an account is on its way at a time; it
// reports what was spent as well.
//
// If the owner does not answer, requests are paced at this daemon's part of a
// share of the rate until it does.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"
#include "decision/quotas/quota_limit.hpp"
#include "decision/steering/rate_limit_pacer.hpp"
#include "schema/quota.hpp"

namespace waxwingvalve::decision::quotas
{

enum class spend_status : std::uint8_t
{
    // The request may be sent.
    spent,
    // It waits for a lease; a lease_decision follows.
    pending,
    // The account has used its quota.
    exceeded,
    // The owner does not answer, and this daemon's own part is used.
    unconfirmed,
};

struct spend_result
{
    spend_status status{};
    // When a token is likely, if the request may not be sent.
    base::duration retry_after{};
    // It may be sent without a token, at the pace of this daemon alone. There
    // is nothing to give back.
    bool paced{};
};

// What becomes of an account's waiting requests, oldest first: so many are
// spent, and the others refused.
struct lease_decision
{
    account_digest account{};
    std::uint32_t spent{};
    std::uint32_t refused{};
    spend_result refusal{};
    // Those that are spent go without tokens.
    bool paced{};
};

class quota_holder
{
public:
    // Least time between two requests for leases of an account whose quota is
    // used.
    static constexpr base::duration ask_interval{
        std::chrono::milliseconds{150}};
    // A request for a lease is sent again after this time without an answer.
    static constexpr base::duration resend_time{std::chrono::milliseconds{100}};
    // An owner that leaves a request unanswered for this long is silent.
    static constexpr base::duration answer_time{std::chrono::milliseconds{350}};
    // Daemons of an account's ranking that are asked in turn. If none of them
    // owns it, they are asked again after resend_time.
    static constexpr std::size_t max_candidates = 3;
    // If nobody has owned the account for answer_time, as after a start of all
    // daemons, they are asked again after this time.
    static constexpr base::duration ownerless_time{
        std::chrono::milliseconds{100}};
    // A silent owner is asked again after this time.
    static constexpr base::duration silent_time{std::chrono::milliseconds{500}};
    // How far ahead of need tokens are leased.
    static constexpr base::duration lease_ahead{std::chrono::milliseconds{250}};
    // What was spent is reported after this time at most.
    static constexpr base::duration report_time{std::chrono::milliseconds{200}};

    explicit quota_holder(std::uint64_t seed) : uncoordinated_{seed} {}

    // Takes a token for one request.
    spend_result spend(
        account_digest account, const quota_limit& limit, base::instant now);
    // The same for a request that is not worth waiting: true if a token is
    // here.
    bool spend_at_once(account_digest account, base::instant now);
    // When a token is likely, as far as is known.
    base::duration retry_after(account_digest account) const;
    // A token that was spent was not needed.
    void give_back(account_digest account);
    // A waiting request is no more.
    void withdraw(account_digest account);

    // The part of a rate that this daemon may send while no owner answers.
    void set_uncoordinated_share(double share) { uncoordinated_share_ = share; }

    // A request for a lease that is to be sent now.
    struct due_request
    {
        schema::lease_request request{};
        // To this one in the ranking of the account's owners.
        std::size_t candidate{};
    };
    std::vector<due_request> due_requests(base::instant now);
    std::optional<due_request> due_request_of(
        account_digest account, base::instant now);
    // The latest request of the account goes to this daemon.
    void note_asked(account_digest account, std::uint64_t daemon);
    // Waiting requests that an owner has left unanswered for too long.
    std::vector<lease_decision> overdue(base::instant now);

    // The request of this account was answered by `owner`. Nothing if the
    // answer is to an earlier one, or if the next candidate is to be asked.
    std::optional<lease_decision> receive(
        const schema::lease_grant& grant,
        const quota_daemon& owner,
        base::instant now);

    // Forgets accounts without requests since `before`.
    void remove_idle(base::instant before);
    std::size_t size() const { return accounts_.size(); }

private:
    struct pending_ask
    {
        schema::lease_request request{};
        std::size_t candidate{};
        std::uint64_t daemon{};
        // The candidates answered, and none owned the account.
        bool ownerless{};
        base::instant first_sent_at{};
        base::instant resend_at{};
    };
    struct account_state
    {
        quota_limit limit{};
        // Leased, and to be spent until the end.
        std::uint32_t tokens{};
        base::instant lease_ends_at{};
        // Who granted them.
        quota_daemon owner{};
        std::uint32_t waiting{};
        // Not reported yet: spent tokens, and reported ones that were not
        // needed.
        std::uint32_t spent{};
        std::uint32_t returned{};
        // The owner had fewer tokens than were needed.
        bool exhausted{false};
        std::optional<pending_ask> asked{};
        base::instant next_ask_at{};
        base::instant report_due_at{};
        // Requests are refused until the owner can be asked again.
        base::instant exceeded_until{};
        // What the owner said last of the next tokens.
        base::duration retry_after{};
        base::instant silent_until{};
        base::instant used_at{};
        // Moving average of the requests.
        double requests_per_s{};
        base::instant rate_at{};
    };

    static void count_request(account_state& state, base::instant now);
    static double rate_of(const account_state& state, base::instant now);
    static void end_lease(account_state& state, base::instant now);
    static bool take_token(account_state& state, base::instant now);
    // Tokens to hold for requests to come.
    static std::uint32_t tokens_ahead(
        const account_state& state, base::instant now);
    static bool due(const account_state& state, base::instant now);
    spend_result spend_uncoordinated(
        account_digest account, account_state& state, base::instant now);
    static lease_decision divide_grant(
        const schema::lease_grant& grant,
        account_state& state,
        base::instant now);
    std::optional<due_request> make_due(
        account_digest account, account_state& state, base::instant now);
    // The daemon that was asked owns the account no more, or not yet.
    static void ask_next(pending_ask& asked, base::instant now);
    lease_decision end_wait(
        account_digest account, account_state& state, base::instant now);

    // Of the latest request, over all accounts: one that is forgotten and comes
    // back goes on with it.
    std::uint32_t sequence_{0};
    // Invariant: holds an account as long as requests wait for it.
    std::unordered_map<account_digest, account_state> accounts_;
    double uncoordinated_share_{0};
    steering::rate_limit_pacer uncoordinated_;
};

} // namespace waxwingvalve::decision::quotas
