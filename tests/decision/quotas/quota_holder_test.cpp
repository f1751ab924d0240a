// Tests how a daemon leases and spends the tokens of an account.
#include <boost/test/unit_test.hpp>

#include "decision/quotas/quota_holder.hpp"

using namespace waxwingvalve::decision::quotas;
using namespace std::chrono_literals;
using waxwingvalve::base::instant;
using waxwingvalve::schema::lease_status;

namespace
{

constexpr account_digest account = 7;
constexpr quota_limit limit{100, 100};

struct holder_fixture
{
    spend_status spend() { return holder.spend(account, limit, now).status; }

    // Answers the request that is due.
    std::optional<lease_decision> grant(std::uint16_t tokens)
    {
        const auto due = holder.due_request_of(account, now);
        BOOST_REQUIRE(due.has_value());
        return holder.receive(
            {.account = account,
             .sequence = due->request.sequence,
             .tokens = tokens,
             .retry_after_ms = tokens < due->request.needed ? 70U : 0U},
            owner,
            now);
    }

    static constexpr quota_daemon owner{3, 1};
    quota_holder holder{1};
    instant now{1h};
};

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(spend_status)

BOOST_FIXTURE_TEST_SUITE(quota_holders, holder_fixture)

BOOST_AUTO_TEST_CASE(a_request_waits_for_a_lease)
{
    BOOST_TEST(spend() == spend_status::pending);
    const auto decision = grant(3);
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST(decision->spent == 1U);
    BOOST_TEST(spend() == spend_status::spent);
    BOOST_TEST(spend() == spend_status::spent);
    BOOST_TEST(spend() == spend_status::pending);
}

BOOST_AUTO_TEST_CASE(what_the_owner_cannot_grant_is_refused)
{
    BOOST_TEST(spend() == spend_status::pending);
    BOOST_TEST(spend() == spend_status::pending);
    const auto decision = grant(1);
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST(decision->spent == 1U);
    BOOST_TEST(decision->refused == 1U);
    BOOST_TEST((decision->refusal.retry_after == 70ms));
    // The owner is not asked for each request of a flood.
    BOOST_TEST(spend() == spend_status::exceeded);
    BOOST_TEST(!holder.due_request_of(account, now).has_value());
    now += quota_holder::ask_interval;
    BOOST_TEST(spend() == spend_status::pending);
}

// The owner counts them as spent by then.
BOOST_AUTO_TEST_CASE(a_lease_ends)
{
    spend();
    grant(50);
    now += lease_time - lease_margin;
    BOOST_TEST(spend() == spend_status::pending);
}

// The owner could not tell tokens that are spent from those that are held.
BOOST_AUTO_TEST_CASE(what_was_spent_is_reported)
{
    spend();
    grant(50);
    spend();
    spend();
    BOOST_TEST(!holder.due_request_of(account, now).has_value());
    now += quota_holder::report_time;
    const auto due = holder.due_request_of(account, now);
    BOOST_REQUIRE(due.has_value());
    BOOST_TEST(due->request.spent == 3U);
    BOOST_TEST(due->request.needed == 0U);
    // An answer that is lost takes no report with it.
    spend();
    now += quota_holder::answer_time;
    holder.overdue(now);
    now += quota_holder::silent_time;
    const auto again = holder.due_request_of(account, now);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->request.spent == 4U);
}

// Two owners would grant the same tokens.
BOOST_AUTO_TEST_CASE(tokens_of_another_start_of_the_owner_are_dropped)
{
    spend();
    grant(50);
    now += quota_holder::report_time;
    const auto due = holder.due_request_of(account, now);
    BOOST_REQUIRE(due.has_value());
    holder.receive(
        {.account = account, .sequence = due->request.sequence, .tokens = 1},
        quota_daemon{3, 2},
        now);
    BOOST_TEST(spend() == spend_status::spent);
    BOOST_TEST(spend() == spend_status::pending);
}

BOOST_AUTO_TEST_CASE(a_request_for_a_lease_is_sent_again)
{
    spend();
    const auto first = holder.due_request_of(account, now);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(!holder.due_request_of(account, now).has_value());
    now += quota_holder::resend_time;
    const auto again = holder.due_request_of(account, now);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->request.sequence == first->request.sequence);
}

BOOST_AUTO_TEST_CASE(an_answer_to_an_earlier_request_is_ignored)
{
    spend();
    BOOST_REQUIRE(holder.due_request_of(account, now).has_value());
    BOOST_TEST(!holder.receive(
        {.account = account, .sequence = 9, .tokens = 5}, owner, now));
    BOOST_TEST(!holder.receive(
        {.account = 8, .sequence = 1, .tokens = 5}, owner, now));
    BOOST_TEST(spend() == spend_status::pending);
}

BOOST_AUTO_TEST_CASE(the_next_candidate_is_asked_if_one_owns_nothing)
{
    spend();
    const auto first = holder.due_request_of(account, now);
    BOOST_REQUIRE(first.has_value());
    holder.note_asked(account, owner.key);
    // Another daemon that was asked before says so, too.
    holder.receive(
        {.account = account,
         .sequence = first->request.sequence,
         .status = lease_status::not_owner},
        quota_daemon{4, 1},
        now);
    BOOST_TEST(!holder.due_request_of(account, now).has_value());
    holder.receive(
        {.account = account,
         .sequence = first->request.sequence,
         .status = lease_status::not_owner},
        owner,
        now);
    const auto next = holder.due_request_of(account, now);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(first->candidate == 0U);
    BOOST_TEST(next->candidate == 1U);
}

// After a start of all daemons nobody owns the account for a second. The
// requests of most of that second were refused until 0.5 s after its end.
BOOST_AUTO_TEST_CASE(an_account_that_nobody_owns_is_asked_for_again_and_again)
{
    spend();
    const auto first = holder.due_request_of(account, now);
    BOOST_REQUIRE(first.has_value());
    const auto deny = [&]
    {
        holder.note_asked(account, owner.key);
        holder.receive(
            {.account = account,
             .sequence = first->request.sequence,
             .status = lease_status::not_owner},
            owner,
            now);
        return holder.due_request_of(account, now);
    };
    for (std::size_t i = 1; i < quota_holder::max_candidates; ++i)
    {
        const auto next = deny();
        BOOST_REQUIRE(next.has_value());
        BOOST_TEST(next->candidate == i);
    }
    BOOST_TEST(!deny().has_value());
    now += quota_holder::resend_time;
    const auto again = holder.due_request_of(account, now);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->candidate == 0U);
    now += quota_holder::answer_time;
    BOOST_TEST(holder.overdue(now).size() == 1U);
    now += quota_holder::ownerless_time;
    BOOST_TEST(spend() == spend_status::pending);
    BOOST_TEST(holder.due_request_of(account, now).has_value());
}

// Without an answer nobody may wait until the caller's deadline.
BOOST_AUTO_TEST_CASE(requests_of_a_silent_owner_are_paced)
{
    holder.set_uncoordinated_share(0.1);
    for (int i = 0; i < 20; ++i)
    {
        BOOST_TEST(spend() == spend_status::pending);
    }
    holder.due_requests(now);
    BOOST_TEST(holder.overdue(now).empty());
    now += quota_holder::answer_time;
    const auto decisions = holder.overdue(now);
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST(decisions[0].spent <= 1U);
    BOOST_TEST(decisions[0].spent + decisions[0].refused == 20U);
    BOOST_TEST((decisions[0].refusal.status == spend_status::unconfirmed));
    int spent = 0;
    for (int i = 0; i < 49; ++i)
    {
        now += 10ms;
        spent += spend() == spend_status::spent ? 1 : 0;
    }
    BOOST_TEST(spent >= 4);
    BOOST_TEST(spent <= 6);
}

BOOST_AUTO_TEST_CASE(a_token_that_was_not_needed_is_spent_by_the_next)
{
    spend();
    grant(1);
    holder.give_back(account);
    BOOST_TEST(holder.spend_at_once(account, now));
    BOOST_TEST(!holder.spend_at_once(account, now));
}

// The owner has counted it already.
BOOST_AUTO_TEST_CASE(a_reported_token_that_was_not_needed_is_returned)
{
    spend();
    grant(1);
    now += quota_holder::report_time;
    grant(0);
    holder.give_back(account);
    BOOST_TEST(!holder.spend_at_once(account, now));
    spend();
    const auto due = holder.due_request_of(account, now);
    BOOST_REQUIRE(due.has_value());
    BOOST_TEST(due->request.returned == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_leaves_takes_no_token)
{
    spend();
    spend();
    holder.withdraw(account);
    const auto decision = grant(2);
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST(decision->spent == 1U);
    BOOST_TEST(holder.spend_at_once(account, now));
}

// An account with a steady rate would wait at every lease.
BOOST_AUTO_TEST_CASE(a_steady_account_leases_ahead)
{
    int waited = 0;
    for (int i = 0; i < 400; ++i, now += 10ms)
    {
        waited += spend() == spend_status::pending ? 1 : 0;
        if (const auto due = holder.due_request_of(account, now))
        {
            holder.receive(
                {.account = account,
                 .sequence = due->request.sequence,
                 .tokens = static_cast<std::uint16_t>(
                     due->request.needed + due->request.ahead)},
                owner,
                now);
        }
    }
    BOOST_TEST(waited <= 20);
}

BOOST_AUTO_TEST_CASE(accounts_without_requests_are_forgotten)
{
    spend();
    holder.remove_idle(now + 1s);
    BOOST_TEST(holder.size() == 1U);
    holder.withdraw(account);
    holder.remove_idle(now + 1s);
    BOOST_TEST(holder.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
