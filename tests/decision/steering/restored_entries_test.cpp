// Tests which worker entries of a restored store are believed.
#include <boost/test/unit_test.hpp>

#include "decision/steering/restored_entries.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace waxwingvalve::decision::steering;
using waxwingvalve::base::instant;

const instant begin{1h};
constexpr std::chrono::milliseconds entry_lifetime{6'000};

worker_entry make_entry(std::int64_t started_at_ms, std::uint64_t report_number)
{
    worker_entry entry;
    entry.id = "i-1";
    entry.started_at_ms = started_at_ms;
    entry.report_number = report_number;
    return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_worker_entries)

BOOST_AUTO_TEST_CASE(entry_of_a_worker_never_seen_is_believed)
{
    restored_entries entries{entry_lifetime};
    BOOST_TEST(!entries.hold_back(make_entry(1, 1), nullptr, begin));
}

// Guards against requests to workers that have ended, because a restored store
// lists them as ready.
BOOST_AUTO_TEST_CASE(entry_of_an_ended_worker_is_held_back)
{
    restored_entries entries{entry_lifetime};
    entries.record_removed(make_entry(1, 7), begin);
    BOOST_TEST(entries.hold_back(make_entry(1, 5), nullptr, begin + 3s));
    BOOST_TEST(entries.hold_back(make_entry(1, 7), nullptr, begin + 3s));
    BOOST_TEST(!entries.hold_back(make_entry(1, 8), nullptr, begin + 3s));
    BOOST_TEST(!entries.hold_back(make_entry(2, 1), nullptr, begin + 3s));
}

BOOST_AUTO_TEST_CASE(older_report_does_not_replace_the_entry_in_force)
{
    restored_entries entries{entry_lifetime};
    const auto known = make_entry(2, 3);
    BOOST_TEST(entries.hold_back(make_entry(2, 2), &known, begin));
    BOOST_TEST(entries.hold_back(make_entry(1, 9), &known, begin));
    BOOST_TEST(!entries.hold_back(make_entry(2, 4), &known, begin));
}

// A worker whose report is lost says the same again, which is no change.
BOOST_AUTO_TEST_CASE(entry_that_the_store_keeps_is_believed_after_its_lifetime)
{
    restored_entries entries{entry_lifetime};
    entries.record_removed(make_entry(1, 7), begin);
    BOOST_REQUIRE(entries.hold_back(make_entry(1, 5), nullptr, begin));
    BOOST_TEST(entries.take_outlived(begin + 5'900ms).empty());
    const auto outlived = entries.take_outlived(begin + entry_lifetime);
    BOOST_REQUIRE(outlived.size() == 1U);
    BOOST_TEST(outlived.front().report_number == 5U);
    BOOST_TEST(entries.take_outlived(begin + 10s).empty());
}

BOOST_AUTO_TEST_CASE(held_back_entry_waits_anew_when_the_store_returns_again)
{
    restored_entries entries{entry_lifetime};
    entries.record_removed(make_entry(1, 7), begin);
    BOOST_REQUIRE(entries.hold_back(make_entry(1, 5), nullptr, begin));
    entries.store_returned(begin + 5s);
    BOOST_TEST(entries.take_outlived(begin + 10s).empty());
    BOOST_TEST(entries.take_outlived(begin + 11s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(held_back_entry_is_dropped_when_its_row_changes)
{
    restored_entries entries{entry_lifetime};
    entries.record_removed(make_entry(1, 7), begin);
    BOOST_REQUIRE(entries.hold_back(make_entry(1, 5), nullptr, begin));
    entries.row_changed("i-1");
    BOOST_TEST(entries.take_outlived(begin + 10s).empty());
}

BOOST_AUTO_TEST_CASE(removed_workers_are_forgotten_in_time)
{
    restored_entries entries{entry_lifetime};
    entries.record_removed(make_entry(1, 7), begin);
    const auto later = begin + restored_entries::memory_time + 1ms;
    BOOST_TEST(!entries.hold_back(make_entry(1, 5), nullptr, later));
}

BOOST_AUTO_TEST_SUITE_END()
