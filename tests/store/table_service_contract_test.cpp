// Contract tests of the table_service concept, run against the in-memory fake
// and against the HTTP client with the platform stand-in.
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

struct in_memory_backend
{
    fakes::memory_table table;

    void set_unavailable(bool unavailable) { table.down = unavailable; }
    void drop_next_response() { table.responses_to_drop = 1; }
};

struct http_backend
{
    http_backend() { cluster.start_platform(); }

    harness::cluster cluster{harness::authority()};
    store::http_table_service table{
        cluster.platform(), std::chrono::seconds{5}};

    void set_unavailable(bool unavailable)
    {
        cluster.set_faults(
            cluster.platform(),
            unavailable ? R"({"outage": true})" : R"({"outage": false})");
    }

    void drop_next_response()
    {
        cluster.set_faults(cluster.platform(), R"({"lose_writes": 1})");
    }
};

using backends = boost::mpl::list<in_memory_backend, http_backend>;

store::transaction make_put(
    const std::string& key, std::uint64_t version, const std::string& value)
{
    return {{{"t", key, version}}, {{"t", key, value}}};
}

bool guarantees_no_write(result_code code)
{
    return code == result_code::platform_unreachable ||
           code == result_code::platform_refused;
}

} // namespace

BOOST_AUTO_TEST_SUITE(table_service_contract)

BOOST_AUTO_TEST_CASE_TEMPLATE(commits_are_atomic, Backend, backends)
{
    Backend backend;
    auto& table = backend.table;
    BOOST_REQUIRE(net::run_blocking(table.commit(make_put("a", 0, "1"))));
    const auto row = net::run_blocking(table.read("t", "a")).value();
    BOOST_REQUIRE(row.has_value());
    BOOST_TEST(row->value == "1");
    BOOST_TEST(row->version == 1U);

    auto conflicting = make_put("b", 0, "2");
    conflicting.conditions.push_back({"t", "a", 7});
    const auto refused = net::run_blocking(table.commit(conflicting));
    BOOST_TEST((refused.error().code == result_code::platform_conflict));
    BOOST_TEST(!net::run_blocking(table.read("t", "b")).value().has_value());
}

BOOST_AUTO_TEST_CASE_TEMPLATE(
    recreated_row_continues_version_numbers, Backend, backends)
{
    Backend backend;
    auto& table = backend.table;
    BOOST_REQUIRE(net::run_blocking(table.commit(make_put("a", 0, "1"))));
    const store::transaction removal{{{"t", "a", 1}}, {{"t", "a", {}}}};
    BOOST_REQUIRE(net::run_blocking(table.commit(removal)));
    BOOST_TEST(!net::run_blocking(table.read("t", "a")).value().has_value());
    BOOST_REQUIRE(net::run_blocking(table.commit(make_put("a", 0, "2"))));
    BOOST_TEST(net::run_blocking(table.read("t", "a")).value()->version == 3U);
}

BOOST_AUTO_TEST_CASE_TEMPLATE(
    scan_returns_rows_with_prefix_in_key_order, Backend, backends)
{
    Backend backend;
    auto& table = backend.table;
    for (const auto* key : {"b/2", "a/1", "b/1", "c/1"})
    {
        BOOST_REQUIRE(net::run_blocking(table.commit(make_put(key, 0, key))));
    }
    const auto rows = net::run_blocking(table.scan("t", "b/")).value();
    BOOST_REQUIRE(rows.size() == 2U);
    BOOST_TEST(rows[0].key == "b/1");
    BOOST_TEST(rows[1].key == "b/2");
}

BOOST_AUTO_TEST_CASE_TEMPLATE(
    lost_response_reports_unknown_outcome, Backend, backends)
{
    Backend backend;
    auto& table = backend.table;
    backend.drop_next_response();
    const auto lost = net::run_blocking(table.commit(make_put("a", 0, "1")));
    BOOST_TEST((lost.error().code == result_code::platform_outcome_unknown));
    BOOST_TEST(net::run_blocking(table.read("t", "a")).value()->value == "1");
}

BOOST_AUTO_TEST_CASE_TEMPLATE(
    commit_during_outage_writes_nothing, Backend, backends)
{
    Backend backend;
    auto& table = backend.table;
    backend.set_unavailable(true);
    const auto written = net::run_blocking(table.commit(make_put("a", 0, "1")));
    BOOST_TEST(guarantees_no_write(written.error().code));
    const auto read = net::run_blocking(table.read("t", "a"));
    BOOST_TEST(guarantees_no_write(read.error().code));
    backend.set_unavailable(false);
    BOOST_TEST(!net::run_blocking(table.read("t", "a")).value().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
