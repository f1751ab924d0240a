#include <string>

#include <boost/test/unit_test.hpp>

#include "decision/filings/key_ledger.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::filings;

namespace
{

using answer = std::string;

constexpr request_digest digest{1, 2};
constexpr request_digest other_digest{1, 3};
constexpr std::uint64_t incarnation = 77;

idempotency_key key_of(std::uint64_t epoch, std::string local)
{
    return {key_prefix{"addis-a-1", incarnation, epoch}, std::move(local)};
}

struct with_ledger
{
    base::instant start{};
    key_ledger<answer> ledger{
        "addis-a-1",
        incarnation,
        start,
        {.max_keys_per_epoch = 3,
         .max_total_answer_bytes = 10,
         .max_answer_bytes = 8}};
    idempotency_key key{key_of(1, "a")};

    key_verdict admit(const idempotency_key& which, base::instant now)
    {
        return ledger.admit(which, digest, now).verdict;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(key_ledgers, with_ledger)

BOOST_AUTO_TEST_CASE(a_key_runs_once_and_its_answer_is_kept)
{
    BOOST_TEST((admit(key, start) == key_verdict::run));
    BOOST_TEST((admit(key, start) == key_verdict::wait));
    ledger.finish(key, done<answer>{"filed", 5});
    const auto again = ledger.admit(key, digest, start);
    BOOST_TEST((again.verdict == key_verdict::recorded));
    BOOST_REQUIRE(again.answer != nullptr);
    BOOST_TEST(*again.answer == "filed");
}

BOOST_AUTO_TEST_CASE(another_request_under_the_key_never_gets_its_answer)
{
    admit(key, start);
    BOOST_TEST(
        (ledger.admit(key, other_digest, start).verdict ==
         key_verdict::key_reused));
    ledger.finish(key, done<answer>{"filed", 5});
    const auto reused = ledger.admit(key, other_digest, start);
    BOOST_TEST((reused.verdict == key_verdict::key_reused));
    BOOST_TEST(reused.answer == nullptr);
}

BOOST_AUTO_TEST_CASE(a_refused_key_never_runs)
{
    admit(key, start);
    ledger.finish(key, not_run{base::result_code::no_room});
    const auto again = ledger.admit(key, digest, start);
    BOOST_TEST((again.verdict == key_verdict::refused));
    BOOST_TEST((again.reason == base::result_code::no_room));
    // A late second report must not turn a refusal into an answer.
    ledger.finish(key, done<answer>{"filed", 5});
    BOOST_TEST((admit(key, start) == key_verdict::refused));
}

BOOST_AUTO_TEST_CASE(an_epoch_is_live_for_ten_minutes_and_then_closed)
{
    admit(key, start);
    ledger.finish(key, done<answer>{"filed", 5});
    const auto last = start + max_live_epochs * epoch_length;
    BOOST_TEST(
        (admit(key, last - std::chrono::nanoseconds{1}) ==
         key_verdict::recorded));
    BOOST_TEST((admit(key, last) == key_verdict::epoch_closed));
    BOOST_TEST((admit(key_of(1, "new"), last) == key_verdict::epoch_closed));
    // A clock that seems to step back opens nothing again.
    BOOST_TEST((admit(key, start) == key_verdict::epoch_closed));
    BOOST_TEST(ledger.keys() == 0U);
    BOOST_TEST(ledger.recorded_answer_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(an_epoch_that_has_not_begun_takes_no_key)
{
    BOOST_TEST((admit(key_of(2, "a"), start) == key_verdict::epoch_closed));
    BOOST_TEST(
        ledger.prefix(start + epoch_length) ==
        to_string(key_prefix{"addis-a-1", incarnation, 2}));
    BOOST_TEST((admit(key_of(2, "a"), start) == key_verdict::run));
}

BOOST_AUTO_TEST_CASE(a_full_epoch_takes_no_new_key_and_knows_the_old)
{
    for (const auto* local : {"a", "b", "c"})
    {
        BOOST_TEST((admit(key_of(1, local), start) == key_verdict::run));
    }
    BOOST_TEST((admit(key_of(1, "d"), start) == key_verdict::epoch_full));
    BOOST_TEST((admit(key, start) == key_verdict::wait));
    ledger.finish(key, not_run{});
    BOOST_TEST((admit(key_of(1, "d"), start) == key_verdict::epoch_full));
}

BOOST_AUTO_TEST_CASE(past_its_bytes_an_answer_is_done_without_a_body)
{
    for (const auto* local : {"a", "b", "c"})
    {
        admit(key_of(1, local), start);
    }
    ledger.finish(key_of(1, "a"), done<answer>{"too large", 9});
    ledger.finish(key_of(1, "b"), done<answer>{"older", 6});
    ledger.finish(key_of(1, "c"), done<answer>{"newer", 5});
    const auto too_large = ledger.admit(key_of(1, "a"), digest, start);
    const auto older = ledger.admit(key_of(1, "b"), digest, start);
    const auto newer = ledger.admit(key_of(1, "c"), digest, start);
    BOOST_TEST((too_large.verdict == key_verdict::recorded));
    BOOST_TEST(too_large.answer == nullptr);
    BOOST_TEST((older.verdict == key_verdict::recorded));
    BOOST_TEST(older.answer == nullptr);
    BOOST_REQUIRE(newer.answer != nullptr);
    BOOST_TEST(*newer.answer == "newer");
    BOOST_TEST(ledger.recorded_answer_bytes() == 5U);
}

BOOST_AUTO_TEST_CASE(only_its_own_incarnation_is_owned)
{
    BOOST_TEST(ledger.owns(*key.prefix));
    BOOST_TEST(!ledger.owns({"addis-a-1", incarnation - 1, 1}));
    BOOST_TEST(!ledger.owns({"addis-a-2", incarnation, 1}));
}

BOOST_AUTO_TEST_SUITE_END()
