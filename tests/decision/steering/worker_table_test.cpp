// What a daemon keeps of each worker through reports, restarts and failures.
#include <boost/test/unit_test.hpp>

#include "decision/steering/worker_table.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace waxwingvalve::decision::steering;
using waxwingvalve::base::instant;

const instant begin{1h};

worker_entry entry(std::string id, std::int64_t started_at_ms = 1)
{
    worker_entry out;
    out.id = std::move(id);
    out.service = "seam-registry";
    out.address = {"10.0.0.1", 8080};
    out.zone = "addis-a";
    out.slots = 4;
    out.started_at_ms = started_at_ms;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_tables)

BOOST_AUTO_TEST_CASE(entries_come_change_and_go)
{
    worker_table table;
    BOOST_TEST((table.put(entry("a"), begin) == entry_change::added));
    BOOST_TEST((table.put(entry("a"), begin) == entry_change::none));
    auto leaving = entry("a");
    leaving.draining = true;
    BOOST_TEST((table.put(leaving, begin) == entry_change::changed));
    BOOST_TEST(table.of_service("seam-registry").size() == 1U);
    BOOST_TEST(table.remove("a"));
    BOOST_TEST(!table.remove("a"));
    BOOST_TEST(table.of_service("seam-registry").empty());
}

// A report that was sent before the worker said that it leaves can be read
// after it.
BOOST_AUTO_TEST_CASE(a_draining_worker_stays_draining_until_it_starts_again)
{
    worker_table table;
    auto leaving = entry("a");
    leaving.draining = true;
    table.put(leaving, begin);
    table.put(entry("a"), begin);
    BOOST_TEST(table.find("a")->entry().draining);
    table.put(entry("a", 2), begin);
    BOOST_TEST(!table.find("a")->entry().draining);
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_starts_without_doubts)
{
    worker one{entry("a"), begin};
    one.eject(ejection_reason::unreachable, begin);
    BOOST_TEST((one.ejection(begin) == ejection_reason::unreachable));
    one.update(entry("a", 2), begin);
    BOOST_TEST((one.ejection(begin) == ejection_reason::none));
    BOOST_TEST(!one.on_probation());
}

BOOST_AUTO_TEST_CASE(a_report_counts_less_as_it_ages)
{
    worker one{entry("a"), begin};
    one.request_sent();
    one.report({4, 2, 4}, begin);
    BOOST_TEST(one.load(begin) == 6.0);
    const double later = one.load(begin + 500ms);
    BOOST_TEST(later < 6.0);
    BOOST_TEST(later > 1.0);
    BOOST_TEST(one.load(begin + 20s) < 1.1);
}

BOOST_AUTO_TEST_CASE(a_worker_that_fails_often_is_paused_longer_each_time)
{
    worker one{entry("a"), begin};
    auto now = begin;
    for (int i = 0; i < 20; ++i)
    {
        one.record_answer(true, 0.0, now);
    }
    BOOST_TEST((one.ejection(now) == ejection_reason::failing));
    now += worker::initial_ejection_time;
    BOOST_TEST((one.ejection(now) == ejection_reason::none));
    BOOST_TEST(one.on_probation());
    one.begin_probe();
    one.record_answer(true, 0.0, now);
    now += worker::initial_ejection_time;
    BOOST_TEST((one.ejection(now) == ejection_reason::failing));
    now += worker::initial_ejection_time;
    one.record_answer(false, 0.0, now);
    BOOST_TEST(!one.on_probation());
}

// Pattern: all workers of a service shed more than half of their requests.
// Taking them out one after the other would leave none.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_like_all_others_is_not_doubted)
{
    worker one{entry("a"), begin};
    for (int i = 0; i < 40; ++i)
    {
        one.record_answer(i % 9 < 5, 0.55, begin);
        BOOST_TEST((one.ejection(begin) == ejection_reason::none));
    }
}

BOOST_AUTO_TEST_CASE(a_timeout_in_a_queue_does_not_speak_against_a_worker)
{
    worker one{entry("a"), begin};
    one.report({4, 3, 4}, begin);
    for (int i = 0; i < 20; ++i)
    {
        one.record_timeout(0.0, begin);
    }
    BOOST_TEST((one.ejection(begin) == ejection_reason::none));
    one.report({0, 0, 4}, begin);
    for (int i = 0; i < 20; ++i)
    {
        one.record_timeout(0.0, begin);
    }
    BOOST_TEST((one.ejection(begin) == ejection_reason::failing));
}

BOOST_AUTO_TEST_CASE(a_worker_is_cold_as_long_as_it_says)
{
    worker one{entry("a"), begin};
    BOOST_TEST(!one.cold(begin));
    auto cold = entry("a");
    cold.cold_time_left = 3s;
    one.update(cold, begin);
    BOOST_TEST(one.cold(begin + 2s));
    BOOST_TEST(!one.cold(begin + 3s));
}

BOOST_AUTO_TEST_SUITE_END()
