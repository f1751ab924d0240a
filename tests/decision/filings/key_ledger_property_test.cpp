// Compares random sequences of operations on a key ledger with a model that
// never removes keys. rapidcheck prints the seed; RC_PARAMS="seed=N" repeats a
// run.
#include <map>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "decision/filings/key_ledger.hpp"

namespace
{

using namespace waxwingvalve;
using namespace waxwingvalve::decision::filings;
using ledger_type = key_ledger<std::string>;

constexpr std::uint64_t incarnation = 5;
// Few keys, so that a sequence uses the same key several times.
constexpr std::uint64_t epoch_count = 4;
constexpr std::size_t max_keys_per_epoch = 3;
constexpr std::size_t max_answer_bytes = 20;
constexpr int local_part_count = 4;

using key_id = std::pair<std::uint64_t, int>;

// State of every key, including those that the ledger has removed.
struct reference_model
{
    base::instant now{};
    std::set<key_id> ran{};
    std::set<key_id> running{};
    std::set<key_id> refused{};
    std::map<key_id, std::uint64_t> digest{};
    std::map<key_id, std::string> answer{};
};

struct system_under_test
{
    ledger_type ledger{
        "d",
        incarnation,
        base::instant{},
        {max_keys_per_epoch, max_answer_bytes, max_answer_bytes}};
    reference_model model{};
};

// rapidcheck requires a model type. It has no state: every command is valid at
// any time.
struct stateless_model
{
};

using command = rc::state::Command<stateless_model, system_under_test>;

idempotency_key to_key(const key_id& id)
{
    return {
        key_prefix{"d", incarnation, id.first},
        "k" + std::to_string(id.second)};
}

key_id random_key()
{
    return {
        *rc::gen::inRange<std::uint64_t>(1, epoch_count + 1),
        *rc::gen::inRange(0, local_part_count)};
}

struct admit_key : command
{
    key_id id{random_key()};
    std::uint64_t body{*rc::gen::inRange<std::uint64_t>(0, 2)};

    void run(const stateless_model&, system_under_test& sut) const override
    {
        auto& model = sut.model;
        const auto admitted =
            sut.ledger.admit(to_key(id), request_digest{0, body}, model.now);
        if (admitted.verdict == key_verdict::run)
        {
            RC_ASSERT(!model.ran.contains(id));
            RC_ASSERT(!model.refused.contains(id));
            model.ran.insert(id);
            model.running.insert(id);
            model.digest[id] = body;
            return;
        }
        if (admitted.verdict == key_verdict::wait)
        {
            RC_ASSERT(model.running.contains(id));
        }
        if (admitted.verdict == key_verdict::refused ||
            admitted.verdict == key_verdict::epoch_full)
        {
            // These verdicts guarantee that the request never runs.
            RC_ASSERT(!model.ran.contains(id));
            model.refused.insert(id);
        }
        if (admitted.verdict == key_verdict::recorded)
        {
            RC_ASSERT(model.digest.at(id) == body);
            // RC_ASSERT decomposes its expression, which would disable
            // short-circuit evaluation.
            const bool answer_matches = admitted.answer == nullptr ||
                                        *admitted.answer == model.answer.at(id);
            RC_ASSERT(answer_matches);
        }
        if (admitted.verdict == key_verdict::key_reused)
        {
            RC_ASSERT(model.digest.at(id) != body);
        }
    }

    void show(std::ostream& stream) const override
    {
        stream << "admit " << id.first << '/' << id.second << " body " << body;
    }
};

struct finish_key : command
{
    key_id id{random_key()};
    int outcome{*rc::gen::inRange(0, 3)};
    std::size_t bytes{*rc::gen::inRange<std::size_t>(0, max_answer_bytes * 2)};

    void run(const stateless_model&, system_under_test& sut) const override
    {
        auto& model = sut.model;
        const bool was_running = model.running.erase(id) > 0;
        const auto text = std::to_string(id.first * local_part_count) + "/" +
                          std::to_string(bytes);
        if (outcome == 0)
        {
            // not_run means that the request did not reach an upstream.
            if (was_running)
            {
                model.ran.erase(id);
                model.refused.insert(id);
            }
            sut.ledger.finish(to_key(id), not_run{});
        }
        else if (outcome == 1)
        {
            sut.ledger.finish(to_key(id), unknown{});
        }
        else
        {
            if (was_running)
            {
                model.answer[id] = text;
            }
            sut.ledger.finish(to_key(id), done<std::string>{text, bytes});
        }
        RC_ASSERT(sut.ledger.recorded_answer_bytes() <= max_answer_bytes);
        RC_ASSERT(sut.ledger.keys() <= max_keys_per_epoch * max_live_epochs);
    }

    void show(std::ostream& stream) const override
    {
        stream << "finish " << id.first << '/' << id.second << " as "
               << outcome;
    }
};

struct advance_time : command
{
    int seconds{*rc::gen::inRange(0, 200)};

    void run(const stateless_model&, system_under_test& sut) const override
    {
        sut.model.now += std::chrono::seconds{seconds};
        sut.ledger.prefix(sut.model.now);
        RC_ASSERT(sut.ledger.recorded_answer_bytes() <= max_answer_bytes);
    }

    void show(std::ostream& stream) const override
    {
        stream << "pass " << seconds << " s";
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(key_ledger_properties)

BOOST_AUTO_TEST_CASE(key_never_runs_twice_or_after_a_refusal)
{
    const bool passed = rc::check(
        "key ledger behaves as the reference model",
        []
        {
            system_under_test sut;
            rc::state::check(
                stateless_model{},
                sut,
                [](const stateless_model&)
                {
                    return rc::gen::weightedOneOf<
                        std::shared_ptr<const command>>(
                        {{6,
                          rc::state::gen::execOneOfWithArgs<admit_key>()(
                              stateless_model{})},
                         {3,
                          rc::state::gen::execOneOfWithArgs<finish_key>()(
                              stateless_model{})},
                         {2,
                          rc::state::gen::execOneOfWithArgs<advance_time>()(
                              stateless_model{})}});
                });
        });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
