#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "decision/records/adoption.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::records;

namespace
{

accepted_change drain_change(revision at, const std::string& name)
{
    accepted_change out{.revision = at, .key = "drain/" + name};
    out.record_json = R"({"kind": "drain", "schema_version": 1, "name": ")" +
                      name + R"(", "target": ")" + std::to_string(at) + R"("})";
    out.digest = digest_of(out.record_json);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(adoption)

BOOST_AUTO_TEST_CASE(many_daemons_share_one_number_of_store_reads)
{
    constexpr std::size_t peers = 739;
    const auto mean = next_store_read_delay(peers, 0.5);
    const auto reads_a_second =
        (peers + 1) / std::chrono::duration<double>(mean).count();
    BOOST_TEST(reads_a_second <= 10.0);
    BOOST_TEST((next_store_read_delay(0, 0.99) <= std::chrono::seconds{1}));
}

BOOST_AUTO_TEST_CASE(a_scan_older_than_the_head_is_not_taken)
{
    const std::vector<accepted_change> seen{
        drain_change(3, "a"), drain_change(4, "b")};
    BOOST_TEST(includes_revision(seen, 4));
    BOOST_TEST(!includes_revision(seen, 5));
}

BOOST_AUTO_TEST_CASE(an_unreadable_change_leaves_the_last_good_in_force)
{
    auto bad = drain_change(2, "a");
    bad.record_json = R"({"kind": "drain", "schema_version": 9})";
    bad.digest = digest_of(bad.record_json);
    const std::vector<accepted_change> log{
        drain_change(1, "a"), bad, drain_change(3, "b")};
    const auto loaded = apply_changes({}, 3, log);
    BOOST_TEST(loaded.unreadable.size() == 1U);
    BOOST_TEST(loaded.value.by_key.size() == 2U);
    BOOST_TEST(loaded.value.changes.at("drain/a").revision == 2U);
    BOOST_TEST(!all_valid(log, nullptr));
}

// Whatever order answers come in, and twice or not, each record ends at its
// newest change, and an answer by revision brings a peer to the same state.
BOOST_AUTO_TEST_CASE(deltas_in_any_order_lead_to_one_configuration)
{
    const bool holds = rc::check(
        "deltas in any order",
        [](const std::vector<std::uint8_t>& order)
        {
            configuration one{};
            for (const auto step : order)
            {
                const auto at = revision{step} % 16 + 1;
                const std::vector<accepted_change> change{
                    drain_change(at, std::to_string(at % 3))};
                one = apply_changes(std::move(one), 16, change).value;
            }
            const auto answer =
                parse_configuration_delta(to_json(changes_after(one, 0)))
                    .value();
            const auto copy =
                apply_changes({}, answer.revision, answer.changes).value;
            for (const auto& [key, change] : one.changes)
            {
                RC_ASSERT(copy.changes.at(key).revision == change.revision);
                RC_ASSERT(copy.by_key.contains(key));
            }
            for (const auto step : order)
            {
                const auto at = revision{step} % 16 + 1;
                RC_ASSERT(
                    one.changes.at("drain/" + std::to_string(at % 3))
                        .revision >= at);
            }
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
