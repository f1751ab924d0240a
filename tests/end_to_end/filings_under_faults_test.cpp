// Filings as separate processes, with a fault in each: whatever happens, the
// history of callers and upstreams must hold.
#include <future>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "end_to_end/filing_scene.hpp"

using namespace waxwingvalve;
using end_to_end::filing_answer;
using end_to_end::filing_scene;

namespace
{

bool unknown_by(const filing_answer& got, std::string_view code)
{
    return got.outcome == "unknown" && got.code == code;
}

bool same(const filing_answer& a, const filing_answer& b)
{
    return a.status == b.status && a.body == b.body;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(filings_under_faults, filing_scene)

BOOST_AUTO_TEST_CASE(a_repeat_gets_the_first_answer_wherever_it_is_sent)
{
    const auto key = new_key(first);
    const auto answer = file(first, key);
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(same(file(first, key), answer));
    BOOST_TEST(same(file(second, key), answer));
    BOOST_TEST(same(file(third, key), answer));
    BOOST_TEST(runs_of(key) == 1U);

    BOOST_TEST(file(first, "no-prefix").status == 200U);
    BOOST_TEST(file(third, "no-prefix").status == 200U);
    BOOST_TEST(runs_of("no-prefix") == 1U);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(callers_at_once_share_one_run)
{
    set_workers(R"({"service_ms":200})");
    const std::vector<std::string> keys{
        new_key(first), new_key(second), "at-once"};
    std::vector<std::future<filing_answer>> answers;
    for (int copy = 0; copy < 4; ++copy)
    {
        for (const auto& key : keys)
        {
            const auto& entry = cluster.entries().at(
                static_cast<std::size_t>(copy) % cluster.entries().size());
            answers.push_back(std::async(
                std::launch::async, [&] { return file(entry, key); }));
        }
    }
    for (auto& one : answers)
    {
        const auto got = one.get();
        BOOST_TEST_MESSAGE(
            "answered " << got.status << " code " << got.code << " outcome "
                        << got.outcome);
    }
    for (const auto& key : keys)
    {
        BOOST_TEST(runs_of(key) == 1U);
    }
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(another_body_under_the_key_is_refused)
{
    for (const auto& key : {new_key(first), std::string{"reused"}})
    {
        BOOST_TEST(file(first, key, "jar").status == 200U);
        for (const auto& entry : {first, third})
        {
            const auto other = file(entry, key, "pot");
            BOOST_TEST(unknown_by(other, "3003"));
        }
        BOOST_TEST(runs_of(key) == 1U);
    }
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(an_upstreams_lost_answer_is_not_tried_again)
{
    set_workers(R"({"lose_answers":1})");
    for (const auto& key : {new_key(first), std::string{"lost-answer"}})
    {
        BOOST_TEST(file(first, key).outcome == "unknown");
        BOOST_TEST(unknown_by(file(first, key), "3010"));
        BOOST_TEST(file(third, key).outcome == "unknown");
        BOOST_TEST(runs_of(key) == 1U);
        set_workers(R"({"lose_answers":1})");
    }
    BOOST_TEST(history_holds());
}

// The ending of a claimed key is told before its row is written.
BOOST_AUTO_TEST_CASE(a_repeat_before_the_ending_is_recorded_is_told_the_same)
{
    set_workers(R"({"lose_answers":1})");
    cluster.set_faults(cluster.platform(), R"({"delay_ms":300})");
    BOOST_TEST(file(first, "recorded-late").outcome == "unknown");
    BOOST_TEST(unknown_by(file(first, "recorded-late"), "3010"));
    cluster.set_faults(cluster.platform(), R"({"delay_ms":0})");
    BOOST_TEST(runs_of("recorded-late") == 1U);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(a_refused_key_never_runs)
{
    set_workers(R"({"shed":true})");
    const auto key = new_key(first);
    BOOST_TEST(file(first, key).outcome == "not-run");
    const auto claimed = file(first, "shed");
    BOOST_TEST(claimed.outcome == "not-run");
    set_workers(R"({"shed":false})");
    for (const auto& entry : {first, second, third})
    {
        const auto again = file(entry, key);
        BOOST_TEST(again.outcome == "not-run");
        BOOST_TEST(again.code == "3012");
    }
    file(third, "shed");
    BOOST_TEST(runs_of(key) + runs_of("shed") == 0U);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(an_entry_killed_while_it_waits_leaves_the_outcome_unknown)
{
    set_workers(R"({"service_ms":1500})");
    for (const auto& key : {new_key(first), std::string{"killed"}})
    {
        auto cut =
            std::async(std::launch::async, [&] { return file(first, key); });
        BOOST_REQUIRE(wait_for_run(key));
        cluster.daemon(first.name).kill();
        BOOST_TEST(cut.get().status == 0U);
        BOOST_TEST(file(second, key).outcome == "unknown");
        replace(first);
        BOOST_TEST(file(first, key).outcome == "unknown");
        BOOST_TEST(file(third, key).outcome == "unknown");
        BOOST_TEST(runs_of(key) == 1U);
    }
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(an_entry_frozen_while_it_waits_runs_nothing_again)
{
    set_workers(R"({"service_ms":300})");
    const auto key = new_key(first);
    auto slow =
        std::async(std::launch::async, [&] { return file(first, key); });
    BOOST_REQUIRE(wait_for_run(key));
    cluster.daemon(first.name).freeze();
    // The frozen entry accepts the passed copy and answers nothing.
    BOOST_TEST(unknown_by(file(second, key), "3007"));
    cluster.daemon(first.name).thaw();
    const auto answer = slow.get();
    BOOST_TEST(runs_of(key) == 1U);
    const auto again = file(second, key);
    BOOST_TEST((answer.status == 0U || same(answer, again)));
    BOOST_TEST(runs_of(key) == 1U);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(a_caller_that_hangs_up_finds_its_answer_later)
{
    set_workers(R"({"service_ms":400})");
    const auto key = new_key(first);
    const auto cut = cluster.call(
        first.caller_address,
        {.method = "POST",
         .target = "/filings",
         .fields =
             {{"Waxwing-Service", "seam-registry"}, {"Idempotency-Key", key}},
         .body = "jar"},
        std::chrono::milliseconds{100});
    BOOST_TEST(!cut.has_value());
    BOOST_TEST(file(first, key, "jar").status == 200U);
    BOOST_TEST(runs_of(key) == 1U);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(the_passing_entry_killed_leaves_the_key_with_its_owner)
{
    set_workers(R"({"service_ms":400})");
    // The owner of the key must not need the entry that is killed for room.
    const bool first_has_room = owns_workers(first);
    const auto& owner = first_has_room ? first : second;
    const auto& passing = first_has_room ? second : first;
    const auto key = new_key(owner);
    auto cut =
        std::async(std::launch::async, [&] { return file(passing, key); });
    BOOST_REQUIRE(wait_for_run(key));
    cluster.daemon(passing.name).kill();
    BOOST_TEST(cut.get().status == 0U);
    BOOST_TEST(file(third, key).status == 200U);
    BOOST_TEST(file(owner, key).status == 200U);
    BOOST_TEST(runs_of(key) == 1U);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(a_key_of_a_dead_incarnation_never_runs)
{
    const auto key = new_key(first);
    replace(first);
    for (const auto& entry : {first, second, third})
    {
        BOOST_TEST(unknown_by(file(entry, key), "3006"));
    }
    BOOST_TEST(runs_of(key) == 0U);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(without_the_platform_only_prefixed_keys_run)
{
    BOOST_TEST(file(first, "before").status == 200U);
    const auto prefixed = new_key(first);
    cluster.set_faults(cluster.platform(), R"({"outage":true})");
    BOOST_TEST(file(first, prefixed).status == 200U);
    BOOST_TEST(same(file(third, prefixed), file(first, prefixed)));
    // Another entry can't know that this key ran, so it may not say that it
    // did not.
    BOOST_TEST(unknown_by(file(third, "before"), "3008"));
    BOOST_TEST(unknown_by(file(first, "during"), "3008"));
    BOOST_TEST(runs_of("during") == 0U);
    cluster.set_faults(cluster.platform(), R"({"outage":false})");
    BOOST_TEST(file(third, "before").status == 200U);
    BOOST_TEST(file(third, "during").status == 200U);
    BOOST_TEST(runs_of("before") == 1U);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(a_slow_platform_delays_only_claims)
{
    cluster.set_faults(cluster.platform(), R"({"delay_ms":300})");
    BOOST_TEST(file(first, "slow").status == 200U);
    BOOST_TEST(file(second, "slow").outcome != "not-run");
    // Longer than the claim waits: each write takes effect after its answer
    // was given up.
    cluster.set_faults(cluster.platform(), R"({"delay_ms":1300})");
    file(first, "too-slow");
    cluster.set_faults(cluster.platform(), R"({"delay_ms":0})");
    file(first, "too-slow");
    file(third, "too-slow");
    BOOST_TEST(runs_of("slow") == 1U);
    BOOST_TEST(runs_of("too-slow") <= 1U);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(a_claim_whose_answer_is_lost_runs_once)
{
    cluster.set_faults(cluster.platform(), R"({"lose_writes":1})");
    BOOST_TEST(file(first, "claim-lost").status == 200U);
    BOOST_TEST(file(second, "claim-lost").status == 200U);
    BOOST_TEST(runs_of("claim-lost") == 1U);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_CASE(a_refusal_before_the_gate_tells_no_lie)
{
    const auto key = new_key(first);
    const auto bad = [&](const std::string& with, const std::string& deadline)
    {
        return cluster
            .call(
                first.caller_address,
                {.method = "POST",
                 .target = "/filings",
                 .fields =
                     {{"Waxwing-Service", "seam-registry"},
                      {"Waxwing-Deadline-Ms", deadline},
                      {"Idempotency-Key", with}},
                 .body = "jar"})
            .value();
    };
    const auto outcome = [](const net::http_response& in)
    { return net::find_field(in.fields, "Waxwing-Outcome").value_or(""); };
    BOOST_TEST(file(first, key, "jar").status == 200U);
    BOOST_TEST(file(first, "claimed", "jar").status == 200U);
    BOOST_TEST(outcome(bad(key, "soon")) != "not-run");
    BOOST_TEST(outcome(bad("claimed", "soon")) != "not-run");
    const auto fresh = new_key(first);
    BOOST_TEST(outcome(bad(fresh, "soon")) == "not-run");
    BOOST_TEST(file(first, fresh, "jar").outcome == "not-run");
    BOOST_TEST(runs_of(fresh) == 0U);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_SUITE_END()
