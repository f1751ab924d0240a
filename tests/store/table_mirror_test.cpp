// Tests for the in-memory replica of a table.
#include <boost/test/unit_test.hpp>

#include "store/table_mirror.hpp"

using namespace waxwingvalve;

BOOST_AUTO_TEST_SUITE(table_mirrors)

BOOST_AUTO_TEST_CASE(snapshot_reports_removed_rows)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}, {"b", "1", 3, false}}, {1, 3});
    const auto changes = mirror.apply_snapshot(
        {{"b", "1", 3, false}, {"c", "1", 5, false}}, {1, 6});
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(mirror.rows().size() == 2U);
    const auto later_changes = mirror.changes_after({1, 3});
    BOOST_REQUIRE(later_changes);
    BOOST_TEST(later_changes->size() == 2U);
    BOOST_TEST(later_changes->back().deleted);
}

BOOST_AUTO_TEST_CASE(older_snapshot_is_ignored)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}}, {1, 2});
    mirror.apply_changes({{"b", "1", 4, false}}, {1, 4});
    BOOST_TEST(mirror.apply_snapshot({{"a", "1", 2, false}}, {1, 3}).empty());
    BOOST_TEST(mirror.rows().size() == 2U);
}

BOOST_AUTO_TEST_CASE(changes_before_snapshot_are_unavailable)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}}, {1, 10});
    BOOST_TEST(!mirror.changes_after({1, 5}));
    BOOST_TEST(mirror.changes_after({1, 10})->empty());
}

BOOST_AUTO_TEST_CASE(repeated_deletion_is_reported_once)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}}, {1, 2});
    BOOST_TEST(mirror.apply_changes({{"a", {}, 3, true}}, {1, 3}).size() == 1U);
    BOOST_TEST(mirror.apply_changes({{"a", {}, 3, true}}, {1, 3}).empty());
}

// Guards against rows of a restored store that count as older, because their
// versions were given out once before.
BOOST_AUTO_TEST_CASE(snapshot_of_a_new_era_replaces_newer_versions)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}, {"b", "1", 3, false}}, {1, 3});
    mirror.apply_changes({{"a", "2", 9, false}, {"c", "1", 8, false}}, {1, 9});
    const auto changes = mirror.apply_snapshot(
        {{"a", "1", 2, false}, {"b", "1", 3, false}}, {2, 4});
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(changes[0].key == "c");
    BOOST_TEST(changes[0].deleted);
    BOOST_TEST(changes[1].key == "a");
    BOOST_TEST(changes[1].value == "1");
    BOOST_TEST(
        mirror.apply_changes({{"a", "3", 5, false}}, {2, 5}).size() == 1U);
    BOOST_TEST((mirror.position() == store::store_position{2, 5}));
}

BOOST_AUTO_TEST_CASE(rows_of_another_era_are_ignored)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}}, {2, 3});
    BOOST_TEST(mirror.apply_snapshot({{"a", "0", 8, false}}, {1, 9}).empty());
    BOOST_TEST(mirror.apply_changes({{"a", "0", 8, false}}, {1, 9}).empty());
    BOOST_TEST(mirror.apply_changes({{"a", "0", 8, false}}, {3, 9}).empty());
    BOOST_TEST((mirror.position() == store::store_position{2, 3}));
}

BOOST_AUTO_TEST_CASE(reader_of_another_era_gets_no_changes)
{
    store::table_mirror mirror;
    mirror.apply_snapshot({{"a", "1", 2, false}}, {1, 2});
    mirror.apply_snapshot({{"a", "1", 2, false}}, {2, 2});
    mirror.apply_changes({{"b", "1", 9, false}}, {2, 9});
    BOOST_TEST(!mirror.changes_after({1, 8}));
    BOOST_TEST(mirror.changes_after({2, 8})->size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
