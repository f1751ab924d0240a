// Tests the leases that the owner of an account's quota grants.
#include <boost/test/unit_test.hpp>

#include "decision/quotas/quota_owner.hpp"
#include "decision/quotas/quota_ranking.hpp"

using namespace waxwingvalve::decision::quotas;
using namespace std::chrono_literals;
using waxwingvalve::base::instant;
using waxwingvalve::schema::lease_request;

namespace
{

constexpr instant begin{1h};
// 100 tokens in a window, and so many at once.
constexpr quota_limit limit{0, 100};
constexpr quota_terms terms{.overshoot = 0, .slack = 0};
constexpr quota_daemon one{.key = 1, .incarnation = 1};
constexpr quota_daemon other{.key = 2, .incarnation = 1};
constexpr quota_daemon keeper{.key = 3, .incarnation = 1};

// An owner that has owned the account for longer than a window.
struct owner_fixture
{
    owner_fixture()
    {
        now = begin;
        pass(20s);
    }

    quota_fleet view() const { return {1, members, true}; }
    void refresh() { owner.refresh(view(), now); }

    std::uint16_t ask(
        const lease_request& request, const quota_daemon& by = one)
    {
        return owner.grant(request, by, limit, view(), now).tokens;
    }

    // Goes on for a while, with requests for no tokens or without any.
    void pass(waxwingvalve::base::duration time, bool asks = true)
    {
        for (const auto end = now + time; now < end; now += 100ms)
        {
            refresh();
            if (asks)
            {
                owner.grant(
                    {.account = 7, .sequence = ++asked},
                    keeper,
                    limit,
                    view(),
                    now);
            }
        }
    }

    std::vector<quota_member> members{{1, 0s, 60s}};
    quota_owner owner{terms};
    std::uint32_t asked{0};
    instant now{begin};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quota_owners, owner_fixture)

BOOST_AUTO_TEST_CASE(what_holders_have_is_not_granted_again)
{
    BOOST_TEST(ask({.account = 7, .sequence = 2, .needed = 50}) == 50U);
    BOOST_TEST(ask({.account = 7, .sequence = 3, .needed = 50}) == 25U);
    BOOST_TEST(ask({.account = 7, .sequence = 2, .needed = 200}, other) == 12U);
}

// Tokens come back when what was spent has left the window.
BOOST_AUTO_TEST_CASE(spent_tokens_count_for_a_window)
{
    ask({.account = 7, .sequence = 2, .needed = 50});
    ask({.account = 7, .sequence = 3, .needed = 50, .spent = 50});
    ask({.account = 7, .sequence = 4, .spent = 25});
    pass(terms.window / 2);
    BOOST_TEST(ask({.account = 7, .sequence = 5, .needed = 100}) == 12U);
    ask({.account = 7, .sequence = 6, .spent = 12});
    pass(terms.window / 2 + 200ms);
    BOOST_TEST(ask({.account = 7, .sequence = 7, .needed = 40}) == 40U);
}

BOOST_AUTO_TEST_CASE(a_holder_that_says_nothing_more_has_spent_its_tokens)
{
    ask({.account = 7, .sequence = 2, .needed = 50});
    pass(lease_time);
    BOOST_TEST(ask({.account = 7, .sequence = 2, .needed = 50}, other) == 25U);
    pass(terms.window + 200ms);
    BOOST_TEST(ask({.account = 7, .sequence = 3, .needed = 37}, other) == 37U);
}

// A holder that starts again has forgotten what it holds.
BOOST_AUTO_TEST_CASE(a_restarted_holder_has_spent_its_tokens)
{
    ask({.account = 7, .sequence = 2, .needed = 50});
    const quota_daemon again{.key = 1, .incarnation = 2};
    BOOST_TEST(ask({.account = 7, .sequence = 1, .needed = 50}, again) == 25U);
}

// A grant that was lost was debited twice.
BOOST_AUTO_TEST_CASE(a_request_that_comes_again_gets_the_same_grant)
{
    const lease_request request{.account = 7, .sequence = 5, .needed = 20};
    BOOST_TEST(ask(request) == 20U);
    BOOST_TEST(ask(request) == 20U);
    BOOST_TEST(ask({.account = 7, .sequence = 6, .needed = 40}) == 40U);
}

BOOST_AUTO_TEST_CASE(returned_tokens_are_granted_again)
{
    ask({.account = 7, .sequence = 2, .needed = 50});
    ask({.account = 7, .sequence = 3, .spent = 50});
    ask({.account = 7, .sequence = 4, .returned = 30});
    BOOST_TEST(ask({.account = 7, .sequence = 5, .needed = 40}) == 40U);
}

// Idle daemons would hold what busy ones need.
BOOST_AUTO_TEST_CASE(tokens_ahead_leave_most_for_requests_that_wait)
{
    BOOST_TEST(ask({.account = 7, .sequence = 2, .ahead = 100}) == 25U);
    BOOST_TEST(ask({.account = 7, .sequence = 2, .ahead = 10}, other) == 0U);
    BOOST_TEST(ask({.account = 7, .sequence = 3, .needed = 10}, other) == 10U);
}

BOOST_AUTO_TEST_CASE(a_caller_is_told_when_tokens_are_likely)
{
    ask({.account = 7, .sequence = 2, .needed = 50});
    ask({.account = 7, .sequence = 3, .needed = 25});
    // While tokens are left, others get some of them, too.
    BOOST_TEST(ask({.account = 7, .sequence = 4, .needed = 30}) == 12U);
    BOOST_TEST(ask({.account = 7, .sequence = 5, .needed = 30}) == 6U);
    BOOST_TEST(ask({.account = 7, .sequence = 6, .needed = 30}) == 4U);
    const auto last = owner.grant(
        {.account = 7, .sequence = 7, .needed = 23}, one, limit, view(), now);
    BOOST_TEST(last.tokens == 3U);
    // 20 tokens a second come back.
    BOOST_TEST(last.retry_after_ms == 1'000U);
}

// What was spent under the old limit left nothing of the lower one for a
// window.
BOOST_AUTO_TEST_CASE(a_lower_limit_holds_at_once_and_leaves_its_part)
{
    ask({.account = 7, .sequence = 2, .needed = 50});
    ask({.account = 7, .sequence = 3, .spent = 50});
    const quota_limit lower{2, 10};
    const auto granted = owner.grant(
        {.account = 7, .sequence = 4, .needed = 60}, one, lower, view(), now);
    BOOST_TEST(granted.tokens == 5U);
}

BOOST_AUTO_TEST_CASE(a_new_owner_begins_with_a_few_tokens)
{
    quota_owner next{quota_terms{}};
    const auto granted = next.grant(
        {.account = 8, .sequence = 1, .needed = 60'000},
        one,
        limit,
        view(),
        now);
    BOOST_TEST(granted.tokens <= initial_tokens(limit, quota_terms{}));
    BOOST_TEST(granted.tokens > 0U);
}

// A burst after a pause was refused, though it is within the quota.
BOOST_AUTO_TEST_CASE(a_pause_costs_no_tokens)
{
    pass(2s, false);
    BOOST_TEST(ask({.account = 7, .sequence = 2, .needed = 50}) == 50U);
}

// Another daemon may have granted a window's tokens in the meantime.
BOOST_AUTO_TEST_CASE(an_owner_that_stood_still_begins_anew)
{
    now += 3s;
    refresh();
    BOOST_TEST(
        ask({.account = 7, .sequence = 2, .needed = 50}) <=
        initial_tokens(limit, terms));
}

// Requests that had come meanwhile were granted a burst, before it forgot what
// it had granted.
BOOST_AUTO_TEST_CASE(an_owner_that_stood_still_forgets_before_it_grants)
{
    now += 3s;
    BOOST_TEST(
        ask({.account = 7, .sequence = 2, .needed = 50}) <=
        initial_tokens(limit, terms));
}

BOOST_AUTO_TEST_CASE(an_owner_that_others_replaced_begins_anew)
{
    members[0].silence = 60s;
    members.push_back({2, 0s, 60s});
    members.push_back({3, 60s, 60s});
    refresh();
    BOOST_TEST(owner.size() == 0U);
}

// While the daemon that precedes it in the ranking came and went, it saved a
// burst beside what that one granted.
BOOST_AUTO_TEST_CASE(an_owner_for_another_saves_no_burst)
{
    const auto ranked = rank_owners(
        7,
        {1,
         std::vector<quota_member>{{1, 0s, 60s}, {2, 0s, 60s}, {3, 0s, 60s}},
         true},
        3);
    members = {{ranked[0], 0s, 0s}, {ranked[1], 0s, 60s}, {ranked[2], 0s, 60s}};
    const quota_fleet fleet{ranked[1], members, true};
    BOOST_TEST(owns_for_another(7, fleet));
    quota_owner second{quota_terms{}};
    const quota_limit usual{20, 20};
    std::uint32_t sequence = 0;
    const auto grant = [&](std::uint16_t needed)
    {
        return second
            .grant(
                {.account = 7, .sequence = ++sequence, .needed = needed},
                one,
                usual,
                fleet,
                now)
            .tokens;
    };
    grant(1);
    for (int i = 0; i < 20; ++i, now += 100ms)
    {
        second.refresh(fleet, now);
        grant(0);
    }
    BOOST_TEST(grant(100) <= initial_tokens(usual, quota_terms{}));
}

BOOST_AUTO_TEST_CASE(idle_accounts_are_forgotten)
{
    pass(61s, false);
    BOOST_TEST(owner.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(quota_rankings)

// Two owners at once would grant the quota twice.
BOOST_AUTO_TEST_CASE(one_daemon_owns_an_account)
{
    std::vector<quota_member> members;
    for (std::uint64_t key = 0; key < 61; ++key)
    {
        members.push_back({key, 0s, 60s});
    }
    for (account_digest account = 0; account < 100; ++account)
    {
        int owners = 0;
        for (std::uint64_t self = 0; self < 61; ++self)
        {
            const double share = owned_share(account, {self, members, true});
            owners += share > 0 ? 1 : 0;
            BOOST_TEST((share == 0 || share == 1));
        }
        BOOST_TEST(owners == 1);
    }
}

BOOST_AUTO_TEST_CASE(a_daemon_without_a_majority_owns_nothing)
{
    std::vector<quota_member> members;
    for (std::uint64_t key = 0; key < 61; ++key)
    {
        members.push_back({key, key < 30 ? 0s : 5s, 60s});
    }
    for (account_digest account = 0; account < 100; ++account)
    {
        for (std::uint64_t self = 0; self < 30; ++self)
        {
            BOOST_TEST(owned_share(account, {self, members, true}) == 0);
        }
    }
}

// Daemons that started together knew only some of the others when they began
// to own: two of them granted the tokens of one account.
BOOST_AUTO_TEST_CASE(a_daemon_that_still_learns_of_others_owns_nothing)
{
    const auto may_own = [](const member_list_state& list)
    { return settle_gate{}.open(list); };
    BOOST_TEST(!may_own({900ms, 60s, false}));
    BOOST_TEST(!may_own({2s, 400ms, false}));
    BOOST_TEST(!may_own({60s, 60s, true}));
    BOOST_TEST(may_own({2s, 1s, false}));
    // Daemons that join again and again don't keep it from owning.
    BOOST_TEST(may_own({4s, 0s, false}));
}

// The account had no owner for a moment, and two of them in a window.
BOOST_AUTO_TEST_CASE(a_daemon_that_joins_takes_nothing_from_an_owner)
{
    settle_gate gate;
    BOOST_TEST(gate.open({2s, 1s, false}));
    BOOST_TEST(gate.open({2100ms, 0s, false}));
    BOOST_TEST(!gate.open({2200ms, 0s, true}));
}

// The one before it goes on until all know the new one, at a quarter of the
// rate once most of them do.
BOOST_AUTO_TEST_CASE(a_new_daemon_takes_over_once_it_is_known)
{
    const auto share_of_second = [](waxwingvalve::base::duration known_for)
    {
        std::vector<quota_member> members{
            {1, 0s, 60s}, {2, 0s, 60s}, {3, 0s, 60s}};
        const auto ranked = rank_owners(9, {1, members, true}, 3);
        for (auto& one_of_three : members)
        {
            if (one_of_three.key == ranked[0])
            {
                one_of_three.known_for = known_for;
            }
        }
        return owned_share(9, {ranked[1], members, true});
    };
    BOOST_TEST(share_of_second(400ms) == 1.0);
    BOOST_TEST(share_of_second(1s) == 0.25);
    BOOST_TEST(share_of_second(3s) == 0.25);
    BOOST_TEST(share_of_second(5s) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
