#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "decision/records/adoption.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::records;

namespace
{

accepted_change drain_change(revision new_revision, const std::string& name)
{
    accepted_change change{.revision = new_revision, .key = "drain/" + name};
    change.record_json = R"({"kind": "drain", "schema_version": 1, "name": ")" +
                         name + R"(", "target": ")" +
                         std::to_string(new_revision) + R"("})";
    change.digest = digest_of(change.record_json);
    return change;
}

} // namespace

BOOST_AUTO_TEST_SUITE(adoption)

BOOST_AUTO_TEST_CASE(total_store_read_rate_is_bounded)
{
    constexpr std::size_t peers = 739;
    const auto mean = next_store_read_delay(peers, 0.5);
    const auto reads_per_second =
        (peers + 1) / std::chrono::duration<double>(mean).count();
    BOOST_TEST(reads_per_second <= 10.0);
    BOOST_TEST((next_store_read_delay(0, 0.99) <= std::chrono::seconds{1}));
}

BOOST_AUTO_TEST_CASE(scan_older_than_head_is_detected)
{
    const std::vector<accepted_change> seen{
        drain_change(3, "a"), drain_change(4, "b")};
    BOOST_TEST(includes_revision(seen, 4));
    BOOST_TEST(!includes_revision(seen, 5));
}

BOOST_AUTO_TEST_CASE(unreadable_change_leaves_last_valid_record_in_force)
{
    auto unreadable = drain_change(2, "a");
    unreadable.record_json = R"({"kind": "drain", "schema_version": 9})";
    unreadable.digest = digest_of(unreadable.record_json);
    const std::vector<accepted_change> log{
        drain_change(1, "a"), unreadable, drain_change(3, "b")};
    const auto loaded = apply_changes({}, 3, log);
    BOOST_TEST(loaded.unreadable.size() == 1U);
    BOOST_TEST(loaded.value.by_key.size() == 2U);
    BOOST_TEST(loaded.value.changes.at("drain/a").revision == 2U);
    BOOST_TEST(!all_valid(log, nullptr));
}

// Guards against reordered or repeated deltas leaving an older change of a
// record in place. A peer that applies the resulting delta must reach the same
// state.
BOOST_AUTO_TEST_CASE(deltas_in_any_order_give_the_same_configuration)
{
    const bool passed = rc::check(
        "deltas in any order",
        [](const std::vector<std::uint8_t>& order)
        {
            configuration config{};
            for (const auto step : order)
            {
                const auto new_revision = revision{step} % 16 + 1;
                const std::vector<accepted_change> change{drain_change(
                    new_revision, std::to_string(new_revision % 3))};
                config = apply_changes(std::move(config), 16, change).value;
            }
            const auto delta =
                parse_configuration_delta(to_json(changes_after(config, 0)))
                    .value();
            const auto copy =
                apply_changes({}, delta.revision, delta.changes).value;
            for (const auto& [key, change] : config.changes)
            {
                RC_ASSERT(copy.changes.at(key).revision == change.revision);
                RC_ASSERT(copy.by_key.contains(key));
            }
            for (const auto step : order)
            {
                const auto new_revision = revision{step} % 16 + 1;
                RC_ASSERT(
                    config.changes
                        .at("drain/" + std::to_string(new_revision % 3))
                        .revision >= new_revision);
            }
        });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
