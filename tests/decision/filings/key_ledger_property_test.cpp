// Random histories of one ledger against a model that never forgets.
// rapidcheck prints the seed; RC_PARAMS="seed=N" runs one again.
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
// Few keys, so that histories meet the same one again and again.
constexpr std::uint64_t epochs = 4;
constexpr std::size_t max_keys_per_epoch = 3;
constexpr std::size_t answer_bytes = 20;
constexpr int local_names = 4;

using key_id = std::pair<std::uint64_t, int>;

// What is true of every key for ever, whatever the ledger forgets.
struct history
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
        {max_keys_per_epoch, answer_bytes, answer_bytes}};
    history truth{};
};

// The generator needs no model: every command is valid at any time.
struct no_model
{
};

using command = rc::state::Command<no_model, system_under_test>;

idempotency_key to_key(const key_id& id)
{
    return {
        key_prefix{"d", incarnation, id.first},
        "k" + std::to_string(id.second)};
}

key_id any_key()
{
    return {
        *rc::gen::inRange<std::uint64_t>(1, epochs + 1),
        *rc::gen::inRange(0, local_names)};
}

struct admit_key : command
{
    key_id id{any_key()};
    std::uint64_t body{*rc::gen::inRange<std::uint64_t>(0, 2)};

    void run(const no_model&, system_under_test& sut) const override
    {
        auto& truth = sut.truth;
        const auto got =
            sut.ledger.admit(to_key(id), request_digest{0, body}, truth.now);
        if (got.verdict == key_verdict::run)
        {
            RC_ASSERT(!truth.ran.contains(id));
            RC_ASSERT(!truth.refused.contains(id));
            truth.ran.insert(id);
            truth.running.insert(id);
            truth.digest[id] = body;
            return;
        }
        if (got.verdict == key_verdict::wait)
        {
            RC_ASSERT(truth.running.contains(id));
        }
        if (got.verdict == key_verdict::refused ||
            got.verdict == key_verdict::epoch_full)
        {
            // Told "not run": that must stay true.
            RC_ASSERT(!truth.ran.contains(id));
            truth.refused.insert(id);
        }
        if (got.verdict == key_verdict::recorded)
        {
            RC_ASSERT(truth.digest.at(id) == body);
            // RC_ASSERT takes its expression apart and would lose the
            // short circuit.
            const bool own =
                got.answer == nullptr || *got.answer == truth.answer.at(id);
            RC_ASSERT(own);
        }
        if (got.verdict == key_verdict::key_reused)
        {
            RC_ASSERT(truth.digest.at(id) != body);
        }
    }

    void show(std::ostream& out) const override
    {
        out << "admit " << id.first << '/' << id.second << " body " << body;
    }
};

struct finish_key : command
{
    key_id id{any_key()};
    int how{*rc::gen::inRange(0, 3)};
    std::size_t bytes{*rc::gen::inRange<std::size_t>(0, answer_bytes * 2)};

    void run(const no_model&, system_under_test& sut) const override
    {
        auto& truth = sut.truth;
        const bool runs = truth.running.erase(id) > 0;
        const auto text = std::to_string(id.first * local_names) + "/" +
                          std::to_string(bytes);
        if (how == 0)
        {
            // Only a run that reached no upstream may be reported so.
            if (runs)
            {
                truth.ran.erase(id);
                truth.refused.insert(id);
            }
            sut.ledger.finish(to_key(id), not_run{});
        }
        else if (how == 1)
        {
            sut.ledger.finish(to_key(id), unknown{});
        }
        else
        {
            if (runs)
            {
                truth.answer[id] = text;
            }
            sut.ledger.finish(to_key(id), done<std::string>{text, bytes});
        }
        RC_ASSERT(sut.ledger.recorded_answer_bytes() <= answer_bytes);
        RC_ASSERT(sut.ledger.keys() <= max_keys_per_epoch * max_live_epochs);
    }

    void show(std::ostream& out) const override
    {
        out << "finish " << id.first << '/' << id.second << " as " << how;
    }
};

struct pass_time : command
{
    int seconds{*rc::gen::inRange(0, 200)};

    void run(const no_model&, system_under_test& sut) const override
    {
        sut.truth.now += std::chrono::seconds{seconds};
        sut.ledger.prefix(sut.truth.now);
        RC_ASSERT(sut.ledger.recorded_answer_bytes() <= answer_bytes);
    }

    void show(std::ostream& out) const override
    {
        out << "pass " << seconds << " s";
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(key_ledger_properties)

BOOST_AUTO_TEST_CASE(no_key_runs_twice_or_after_a_refusal)
{
    const bool holds = rc::check(
        "the ledger against a history that never forgets",
        []
        {
            system_under_test sut;
            rc::state::check(
                no_model{},
                sut,
                [](const no_model&)
                {
                    return rc::gen::weightedOneOf<
                        std::shared_ptr<const command>>(
                        {{6,
                          rc::state::gen::execOneOfWithArgs<admit_key>()(
                              no_model{})},
                         {3,
                          rc::state::gen::execOneOfWithArgs<finish_key>()(
                              no_model{})},
                         {2,
                          rc::state::gen::execOneOfWithArgs<pass_time>()(
                              no_model{})}});
                });
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
