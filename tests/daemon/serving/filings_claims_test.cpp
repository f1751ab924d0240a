// Claims against a table service that loses answers and writes.
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "daemon/serving/filings_claims.hpp"
#include "fakes/store/fake_table_service.hpp"
#include "net/run_blocking.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::daemon::serving;
using namespace waxwingvalve::decision::filings;
using fakes::table_fault;

namespace
{

struct with_table
{
    std::shared_ptr<fakes::table_state> state{
        std::make_shared<fakes::table_state>()};
    filings_claims<fakes::fake_table_service> claims{
        fakes::fake_table_service{state}};

    claim_result take(std::string attempt)
    {
        return net::run_blocking(claims.take(
            "jar-7", {.attempt = std::move(attempt), .digest = "d"}));
    }

    bool record(const claim_row& row)
    {
        return net::run_blocking(claims.record("jar-7", row));
    }
};

struct fault_case
{
    std::string name{};
    std::deque<table_fault> commits{};
    std::deque<table_fault> reads{};
    claim_verdict verdict{};
};

const std::vector<fault_case> fault_table{
    {"no fault", {}, {}, claim_verdict::mine},
    {"store down", {table_fault::unreachable}, {}, claim_verdict::failed},
    {"answer lost after the write",
     {table_fault::response_lost},
     {},
     claim_verdict::mine},
    {"answer lost, and the read back fails",
     {table_fault::response_lost},
     {table_fault::unreachable},
     claim_verdict::failed},
    {"the write comes late, with the next one",
     {table_fault::write_delayed},
     {},
     claim_verdict::mine},
    {"the write comes late, and the store goes down",
     {table_fault::write_delayed, table_fault::unreachable},
     {},
     claim_verdict::failed},
    {"every write comes late",
     {table_fault::write_delayed,
      table_fault::write_delayed,
      table_fault::write_delayed},
     {},
     claim_verdict::failed}};

} // namespace

BOOST_FIXTURE_TEST_SUITE(filing_claims, with_table)

BOOST_AUTO_TEST_CASE(a_claim_is_mine_only_when_the_row_says_so)
{
    for (const auto& [name, commits, reads, wanted] : fault_table)
    {
        *state = {.commit_faults = commits, .read_faults = reads};
        const auto got = take("a:1:1");
        BOOST_TEST_CONTEXT(name)
        {
            BOOST_TEST((got.what == wanted));
            // Whatever arrives late: a second attempt never gets the key
            // that the first one took for its own.
            const auto second = take("a:1:2");
            BOOST_TEST(
                (wanted != claim_verdict::mine ||
                 second.what == claim_verdict::held));
        }
    }
}

BOOST_AUTO_TEST_CASE(the_row_tells_a_repeat_how_the_first_ended)
{
    auto row = take("a:1:1").row;
    row.state = claim_state::done;
    row.answer = claim_answer{200, "text/plain", "filed"};
    state->commit_faults = {table_fault::response_lost};
    BOOST_TEST(!record(row));
    BOOST_TEST(record(row));
    const auto repeat = take("b:1:1");
    BOOST_TEST((repeat.what == claim_verdict::held));
    BOOST_REQUIRE(repeat.row.answer.has_value());
    BOOST_TEST(repeat.row.answer->body == "filed");
}

BOOST_AUTO_TEST_CASE(a_row_that_cannot_be_read_lets_nothing_run)
{
    state->rows[{std::string{claims_table}, "jar-7"}] = {"jar-7", "{", 1};
    const auto got = take("a:1:1");
    BOOST_TEST((got.what == claim_verdict::failed));
    BOOST_TEST((got.reason.code == base::result_code::platform_answer_invalid));
}

BOOST_AUTO_TEST_SUITE_END()
