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
constexpr quota_limit limit{100, 100};
// A full bucket holds the burst alone.
constexpr quota_terms terms{.overshoot = 0, .slack = 0};
constexpr lease_holder one{.key = 1, .incarnation = 1};
constexpr lease_holder other{.key = 2, .incarnation = 1};

// An owner whose bucket is full.
struct owner_fixture
{
    owner_fixture()
    {
        owner.grant({.account = 7, .sequence = 1}, one, limit, 1.0, begin);
    }

    quota_owner owner{terms};
    instant now{begin + 10s};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quota_owners, owner_fixture)

BOOST_AUTO_TEST_CASE(grants_are_debited)
{
    for (std::uint32_t i = 2; i < 100; ++i)
    {
        owner.grant({7, i, 4, 0}, one, limit, 1.0, now);
    }
    const auto last = owner.grant({7, 100, 4, 0}, one, limit, 1.0, now);
    BOOST_TEST(last.tokens == 0U);
    BOOST_TEST(last.retry_after_ms > 0U);
    const auto later = owner.grant({7, 101, 4, 0}, one, limit, 1.0, now + 30ms);
    BOOST_TEST(later.tokens == 3U);
}

// A grant that was lost was debited twice.
BOOST_AUTO_TEST_CASE(a_request_that_comes_again_gets_the_same_grant)
{
    const lease_request request{7, 5, 20, 0};
    const auto first = owner.grant(request, one, limit, 1.0, now);
    const auto again = owner.grant(request, one, limit, 1.0, now);
    BOOST_TEST(first.tokens == 20U);
    BOOST_TEST(again.tokens == 20U);
    const auto rest = owner.grant({7, 1, 100, 0}, other, limit, 1.0, now);
    BOOST_TEST(rest.tokens == 40U);
}

BOOST_AUTO_TEST_CASE(returned_tokens_are_granted_again)
{
    owner.grant({7, 2, 40, 0}, one, limit, 1.0, now);
    owner.grant({7, 3, 0, 40}, one, limit, 1.0, now);
    BOOST_TEST(owner.grant({7, 4, 100, 0}, one, limit, 1.0, now).tokens == 50U);
}

// A holder that returns more than it got would fill the bucket.
BOOST_AUTO_TEST_CASE(no_more_comes_back_than_was_granted)
{
    owner.grant({7, 2, 50, 0}, one, limit, 1.0, now);
    owner.grant({7, 3, 4, 0}, one, limit, 1.0, now);
    owner.grant({7, 4, 0, 60'000}, one, limit, 1.0, now);
    BOOST_TEST(owner.grant({7, 5, 100, 0}, one, limit, 1.0, now).tokens == 25U);
}

BOOST_AUTO_TEST_CASE(one_holder_takes_half_of_many_tokens)
{
    BOOST_TEST(owner.grant({7, 2, 100, 0}, one, limit, 1.0, now).tokens == 50U);
    BOOST_TEST(
        owner.grant({7, 1, 20, 0}, other, limit, 1.0, now).tokens == 20U);
}

BOOST_AUTO_TEST_CASE(a_lower_limit_cuts_the_bucket)
{
    const quota_limit lower{10, 10};
    BOOST_TEST(owner.grant({7, 2, 100, 0}, one, lower, 1.0, now).tokens == 5U);
}

BOOST_AUTO_TEST_CASE(a_new_owner_does_not_begin_with_the_burst)
{
    quota_owner next{quota_terms{}};
    const auto granted = next.grant({8, 1, 60'000, 0}, one, limit, 1.0, now);
    BOOST_TEST(granted.tokens <= initial_tokens(limit, quota_terms{}));
}

BOOST_AUTO_TEST_CASE(idle_accounts_are_forgotten)
{
    owner.remove_idle(begin + 1s);
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

// The one before it goes on until all know the new one, at half of the rate
// towards the end.
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
    BOOST_TEST(share_of_second(1s) == 1.0);
    BOOST_TEST(share_of_second(3s) == 0.5);
    BOOST_TEST(share_of_second(5s) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
