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

idempotency_key make_key(std::uint64_t epoch, std::string local)
{
    return {key_prefix{"addis-a-1", incarnation, epoch}, std::move(local)};
}

struct ledger_fixture
{
    base::instant start{};
    key_ledger<answer> ledger{
        "addis-a-1",
        incarnation,
        start,
        {.max_keys_per_epoch = 3,
         .max_total_answer_bytes = 10,
         .max_answer_bytes = 8}};
    idempotency_key key{make_key(1, "a")};

    key_verdict admit(const idempotency_key& requested_key, base::instant now)
    {
        return ledger.admit(requested_key, digest, now).verdict;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(key_ledgers, ledger_fixture)

BOOST_AUTO_TEST_CASE(key_runs_once_and_its_answer_is_recorded)
{
    BOOST_TEST((admit(key, start) == key_verdict::run));
    BOOST_TEST((admit(key, start) == key_verdict::wait));
    ledger.finish(key, done<answer>{"filed", 5});
    const auto repeated = ledger.admit(key, digest, start);
    BOOST_TEST((repeated.verdict == key_verdict::recorded));
    BOOST_REQUIRE(repeated.answer != nullptr);
    BOOST_TEST(*repeated.answer == "filed");
}

BOOST_AUTO_TEST_CASE(different_request_with_the_same_key_gets_no_answer)
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

BOOST_AUTO_TEST_CASE(refused_key_never_runs)
{
    admit(key, start);
    ledger.finish(key, not_run{base::result_code::no_room});
    const auto repeated = ledger.admit(key, digest, start);
    BOOST_TEST((repeated.verdict == key_verdict::refused));
    BOOST_TEST((repeated.reason == base::result_code::no_room));
    // A second call of finish() must not replace the refusal by an answer.
    ledger.finish(key, done<answer>{"filed", 5});
    BOOST_TEST((admit(key, start) == key_verdict::refused));
}

BOOST_AUTO_TEST_CASE(epoch_closes_after_ten_minutes)
{
    admit(key, start);
    ledger.finish(key, done<answer>{"filed", 5});
    const auto expiry = start + max_live_epochs * epoch_length;
    BOOST_TEST(
        (admit(key, expiry - std::chrono::nanoseconds{1}) ==
         key_verdict::recorded));
    BOOST_TEST((admit(key, expiry) == key_verdict::epoch_closed));
    BOOST_TEST(
        (admit(make_key(1, "new"), expiry) == key_verdict::epoch_closed));
    // An earlier time does not reopen a closed epoch.
    BOOST_TEST((admit(key, start) == key_verdict::epoch_closed));
    BOOST_TEST(ledger.keys() == 0U);
    BOOST_TEST(ledger.recorded_answer_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(future_epoch_accepts_no_key)
{
    BOOST_TEST((admit(make_key(2, "a"), start) == key_verdict::epoch_closed));
    BOOST_TEST(
        ledger.prefix(start + epoch_length) ==
        to_string(key_prefix{"addis-a-1", incarnation, 2}));
    BOOST_TEST((admit(make_key(2, "a"), start) == key_verdict::run));
}

BOOST_AUTO_TEST_CASE(full_epoch_rejects_new_keys_and_keeps_existing_ones)
{
    for (const auto* local : {"a", "b", "c"})
    {
        BOOST_TEST((admit(make_key(1, local), start) == key_verdict::run));
    }
    BOOST_TEST((admit(make_key(1, "d"), start) == key_verdict::epoch_full));
    BOOST_TEST((admit(key, start) == key_verdict::wait));
    ledger.finish(key, not_run{});
    BOOST_TEST((admit(make_key(1, "d"), start) == key_verdict::epoch_full));
}

BOOST_AUTO_TEST_CASE(answer_over_the_size_limits_is_recorded_without_body)
{
    for (const auto* local : {"a", "b", "c"})
    {
        admit(make_key(1, local), start);
    }
    ledger.finish(make_key(1, "a"), done<answer>{"too large", 9});
    ledger.finish(make_key(1, "b"), done<answer>{"older", 6});
    ledger.finish(make_key(1, "c"), done<answer>{"newer", 5});
    const auto too_large = ledger.admit(make_key(1, "a"), digest, start);
    const auto older = ledger.admit(make_key(1, "b"), digest, start);
    const auto newer = ledger.admit(make_key(1, "c"), digest, start);
    BOOST_TEST((too_large.verdict == key_verdict::recorded));
    BOOST_TEST(too_large.answer == nullptr);
    BOOST_TEST((older.verdict == key_verdict::recorded));
    BOOST_TEST(older.answer == nullptr);
    BOOST_REQUIRE(newer.answer != nullptr);
    BOOST_TEST(*newer.answer == "newer");
    BOOST_TEST(ledger.recorded_answer_bytes() == 5U);
}

BOOST_AUTO_TEST_CASE(ledger_owns_only_keys_of_its_incarnation)
{
    BOOST_TEST(ledger.owns(*key.prefix));
    BOOST_TEST(!ledger.owns({"addis-a-1", incarnation - 1, 1}));
    BOOST_TEST(!ledger.owns({"addis-a-2", incarnation, 1}));
}

BOOST_AUTO_TEST_SUITE_END()
