// One contract for every table service: the fake in memory and the HTTP
// client with the platform stand-in pass the same cases.
#include <chrono>

#include <boost/mpl/list.hpp>
#include <boost/test/unit_test.hpp>

#include "fakes/memory_table.hpp"
#include "harness/cluster.hpp"
#include "net/run_blocking.hpp"
#include "store/http_table_service.hpp"

using namespace waxwingvalve;
using base::result_code;

namespace
{

struct fake_subject
{
    fakes::memory_table table;

    void set_down(bool down) { table.down = down; }
    void lose_next_answer() { table.responses_to_drop = 1; }
};

struct http_subject
{
    http_subject() { cluster.start_platform(); }

    harness::cluster cluster{harness::authority()};
    store::http_table_service table{
        cluster.platform(), std::chrono::seconds{5}};

    void set_down(bool down)
    {
        cluster.set_faults(
            cluster.platform(),
            down ? R"({"outage": true})" : R"({"outage": false})");
    }

    void lose_next_answer()
    {
        cluster.set_faults(cluster.platform(), R"({"lose_writes": 1})");
    }
};

using subjects = boost::mpl::list<fake_subject, http_subject>;

store::transaction put(
    const std::string& key, std::uint64_t version, const std::string& value)
{
    return {{{"t", key, version}}, {{"t", key, value}}};
}

bool nothing_written(result_code code)
{
    return code == result_code::platform_unreachable ||
           code == result_code::platform_refused;
}

} // namespace

BOOST_AUTO_TEST_SUITE(table_service_contract)

BOOST_AUTO_TEST_CASE_TEMPLATE(a_commit_takes_effect_whole_or_not, S, subjects)
{
    S subject;
    auto& table = subject.table;
    BOOST_REQUIRE(net::run_blocking(table.commit(put("a", 0, "1"))));
    const auto row = net::run_blocking(table.read("t", "a")).value();
    BOOST_REQUIRE(row.has_value());
    BOOST_TEST(row->value == "1");
    BOOST_TEST(row->version == 1U);

    auto half = put("b", 0, "2");
    half.conditions.push_back({"t", "a", 7});
    const auto refused = net::run_blocking(table.commit(half));
    BOOST_TEST((refused.error().code == result_code::platform_conflict));
    BOOST_TEST(!net::run_blocking(table.read("t", "b")).value().has_value());
}

BOOST_AUTO_TEST_CASE_TEMPLATE(
    a_deleted_row_never_shows_an_old_version, S, subjects)
{
    S subject;
    auto& table = subject.table;
    BOOST_REQUIRE(net::run_blocking(table.commit(put("a", 0, "1"))));
    const store::transaction removal{{{"t", "a", 1}}, {{"t", "a", {}}}};
    BOOST_REQUIRE(net::run_blocking(table.commit(removal)));
    BOOST_TEST(!net::run_blocking(table.read("t", "a")).value().has_value());
    BOOST_REQUIRE(net::run_blocking(table.commit(put("a", 0, "2"))));
    BOOST_TEST(net::run_blocking(table.read("t", "a")).value()->version == 3U);
}

BOOST_AUTO_TEST_CASE_TEMPLATE(a_scan_is_by_prefix_in_key_order, S, subjects)
{
    S subject;
    auto& table = subject.table;
    for (const auto* key : {"b/2", "a/1", "b/1", "c/1"})
    {
        BOOST_REQUIRE(net::run_blocking(table.commit(put(key, 0, key))));
    }
    const auto rows = net::run_blocking(table.scan("t", "b/")).value();
    BOOST_REQUIRE(rows.size() == 2U);
    BOOST_TEST(rows[0].key == "b/1");
    BOOST_TEST(rows[1].key == "b/2");
}

BOOST_AUTO_TEST_CASE_TEMPLATE(a_lost_answer_is_told_as_unknown, S, subjects)
{
    S subject;
    auto& table = subject.table;
    subject.lose_next_answer();
    const auto lost = net::run_blocking(table.commit(put("a", 0, "1")));
    BOOST_TEST((lost.error().code == result_code::platform_outcome_unknown));
    BOOST_TEST(net::run_blocking(table.read("t", "a")).value()->value == "1");
}

BOOST_AUTO_TEST_CASE_TEMPLATE(an_outage_writes_nothing, S, subjects)
{
    S subject;
    auto& table = subject.table;
    subject.set_down(true);
    const auto written = net::run_blocking(table.commit(put("a", 0, "1")));
    BOOST_TEST(nothing_written(written.error().code));
    const auto read = net::run_blocking(table.read("t", "a"));
    BOOST_TEST(nothing_written(read.error().code));
    subject.set_down(false);
    BOOST_TEST(!net::run_blocking(table.read("t", "a")).value().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
