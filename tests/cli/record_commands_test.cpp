#include <boost/test/unit_test.hpp>

#include "cli/record_commands.hpp"
#include "fakes/memory_table.hpp"
#include "net/run_blocking.hpp"

using namespace waxwingvalve;
using base::result_code;
using decision::records::proposal;
using decision::records::proposal_state;

namespace
{

using commands = cli::record_commands<fakes::memory_table>;

std::string zones(const std::string& name)
{
    return R"({"kind": "deployment", "schema_version": 1, "name": ")" + name +
           R"(", "regions": [{"name": ")" + name +
           R"(", "zones": [{"name": ")" + name + R"(-a"}]}]})";
}

std::string service(const std::string& zone, int slots)
{
    return fmt::format(
        R"({{"kind": "service", "schema_version": 2, "name": "hire-desk",
        "workers": [{{"address": "127.1.1.1:9000", "zone": "{}",
        "slots": {}}}]}})",
        zone,
        slots);
}

struct operators_fixture
{
    template <class Work>
    static base::result<proposal> run(Work work)
    {
        return net::run_blocking(std::move(work));
    }

    std::string propose_reviewed(const std::string& json)
    {
        auto id = run(selam.propose(json)).value().id;
        BOOST_REQUIRE(run(dawit.review(id)).has_value());
        return id;
    }

    void accept_zones()
    {
        const auto id = propose_reviewed(zones("isan"));
        BOOST_REQUIRE(run(dawit.accept(id)).has_value());
    }

    fakes::memory_table table;
    decision::records::operator_keys keys{
        {{"selam", "0123456789abcdef"}, {"dawit", "fedcba9876543210"}}};
    commands selam{table, {"selam", keys}};
    commands dawit{table, {"dawit", keys}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(record_commands, operators_fixture)

BOOST_AUTO_TEST_CASE(accept_with_lost_response_is_reported_as_accepted)
{
    const auto id = propose_reviewed(zones("isan"));
    table.responses_to_drop = 1;
    const auto done = run(dawit.accept(id));
    BOOST_REQUIRE(done.has_value());
    BOOST_TEST(done.value().accepted_as == 1U);
    // Repeating the accept returns the same revision and creates no new one.
    BOOST_TEST(run(dawit.accept(id)).value().accepted_as == 1U);
}

BOOST_AUTO_TEST_CASE(lost_request_is_retried_and_applied_once)
{
    const auto id = propose_reviewed(zones("isan"));
    table.requests_to_drop = 2;
    BOOST_TEST(run(dawit.accept(id)).value().accepted_as == 1U);
}

BOOST_AUTO_TEST_CASE(lost_responses_of_propose_review_and_reject_are_resolved)
{
    table.responses_to_drop = 1;
    const auto proposed = run(selam.propose(zones("isan")));
    BOOST_REQUIRE(proposed.has_value());
    table.responses_to_drop = 1;
    const auto reviewed = run(dawit.review(proposed.value().id));
    BOOST_TEST((reviewed.value().state == proposal_state::reviewed));
    table.responses_to_drop = 1;
    const auto rejected = run(dawit.reject(proposed.value().id));
    BOOST_TEST((rejected.value().state == proposal_state::rejected));
}

BOOST_AUTO_TEST_CASE(exhausted_retries_report_unknown_outcome)
{
    const auto id = propose_reviewed(zones("isan"));
    table.requests_to_drop = 100;
    const auto done = run(dawit.accept(id));
    BOOST_TEST((done.error().code == result_code::platform_outcome_unknown));
    table.requests_to_drop = 0;
    BOOST_TEST(run(dawit.accept(id)).value().accepted_as == 1U);
}

BOOST_AUTO_TEST_CASE(unreachable_store_leaves_no_partial_write)
{
    const auto id = propose_reviewed(zones("isan"));
    table.down = true;
    const auto refused = run(dawit.accept(id));
    BOOST_TEST((refused.error().code == result_code::platform_unreachable));
    table.down = false;
    BOOST_TEST(run(dawit.accept(id)).value().accepted_as == 1U);
}

BOOST_AUTO_TEST_CASE(concurrent_accepts_of_one_record_report_the_winner)
{
    accept_zones();
    const auto first = propose_reviewed(service("isan-a", 6));
    const auto second = propose_reviewed(service("isan-a", 5));
    table.before_commit = [&]
    { BOOST_TEST(run(selam.accept(first)).has_value()); };
    const auto lost = run(dawit.accept(second));
    BOOST_REQUIRE(!lost.has_value());
    BOOST_TEST((lost.error().code == result_code::accept_lost_race));
    BOOST_TEST_CONTEXT(lost.error().detail)
    {
        BOOST_TEST(
            lost.error().detail.find(first + " by selam as revision 2") !=
            std::string::npos);
    }
    const auto later = run(dawit.accept(second));
    BOOST_TEST((later.error().code == result_code::proposal_outdated));
}

BOOST_AUTO_TEST_CASE(concurrent_accepts_of_different_records_make_two_revisions)
{
    accept_zones();
    const auto first = propose_reviewed(service("isan-a", 6));
    const auto second = propose_reviewed(zones("lanna"));
    table.before_commit = [&]
    { BOOST_TEST(run(selam.accept(first)).has_value()); };
    BOOST_TEST(run(dawit.accept(second)).value().accepted_as == 3U);
}

BOOST_AUTO_TEST_CASE(the_author_alone_cannot_accept)
{
    const auto id = run(selam.propose(zones("isan"))).value().id;
    const auto accepted = run(selam.accept(id));
    BOOST_TEST((accepted.error().code == result_code::review_missing));
    const auto reviewed = run(selam.review(id));
    BOOST_TEST((reviewed.error().code == result_code::author_cannot_accept));
}

BOOST_AUTO_TEST_CASE(inconsistent_record_is_rejected)
{
    accept_zones();
    const auto inconsistent = run(selam.propose(service("lanna-a", 6)));
    BOOST_TEST((inconsistent.error().code == result_code::record_invalid));
    const auto shift = run(selam.propose(
        R"({"kind": "shift", "schema_version": 1, "name": "s", "service":
        "herdbook", "from_zone": "isan-a", "to_zone": "isan-a",
        "percent": 10})"));
    BOOST_TEST((shift.error().code == result_code::record_invalid));
}

BOOST_AUTO_TEST_CASE(row_with_invalid_signature_is_rejected)
{
    const auto id = run(selam.propose(zones("isan"))).value().id;
    auto changed = net::run_blocking(dawit.load(id)).value().value;
    changed.record_json = zones("lanna");
    store::transaction forgery;
    forgery.writes.push_back(cli::make_row_write(
        decision::records::proposals_table, id, to_json(changed)));
    BOOST_REQUIRE(net::run_blocking(table.commit(forgery)).has_value());
    const auto reviewed = run(dawit.review(id));
    BOOST_TEST((reviewed.error().code == result_code::signature_invalid));
}

BOOST_AUTO_TEST_CASE(accepted_change_has_valid_signatures)
{
    const auto id = propose_reviewed(zones("isan"));
    const auto accepted = run(dawit.accept(id)).value();
    auto change = decision::records::to_change(accepted);
    BOOST_TEST(decision::records::verify(keys, change).has_value());
    ++change.revision;
    BOOST_TEST(
        (decision::records::verify(keys, change).error().code ==
         result_code::signature_invalid));
}

BOOST_AUTO_TEST_SUITE_END()
