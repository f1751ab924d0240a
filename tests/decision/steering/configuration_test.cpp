// Tests the selection of routes by host and prefix, and the traffic split of a
// route.
#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

#include "decision/steering/configuration.hpp"
#include "decision/steering/split_picker.hpp"

namespace
{

using waxwingvalve::decision::steering::route;
using waxwingvalve::decision::steering::route_table;
using waxwingvalve::decision::steering::split_picker;

route make_route(std::string name, std::string host, std::string prefix)
{
    route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.prefix = std::move(prefix);
    result.parts = {{"seam-registry", 1}};
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configurations)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    const route_table table{
        {make_route("short", "a.example", "/x/"),
         make_route("long", "a.example", "/x/y/"),
         make_route("other", "b.example", "/x/y/z/")}};
    BOOST_REQUIRE(table.find("a.example", "/x/y/z/1") != nullptr);
    BOOST_TEST(table.find("a.example", "/x/y/z/1")->name == "long");
    BOOST_TEST(table.find("a.example", "/x/z")->name == "short");
    BOOST_TEST(table.find("b.example", "/x/y/z/")->name == "other");
}

BOOST_AUTO_TEST_CASE(a_prefix_without_its_slash_and_other_hosts_match_nothing)
{
    const route_table table{{make_route("one", "a.example", "/x/")}};
    BOOST_TEST(table.find("a.example", "/x") == nullptr);
    BOOST_TEST(table.find("a.example", "/xy/") == nullptr);
    BOOST_TEST(table.find("c.example", "/x/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_split_keeps_its_weights_over_short_runs)
{
    auto split = make_route("split", "a.example", "/x/");
    split.parts = {{"old", 90}, {"new", 10}};
    split_picker picker{1};
    std::map<std::string, int> counts;
    for (int i = 0; i < 50; ++i)
    {
        ++counts[picker.next(split)];
    }
    BOOST_TEST(counts["old"] == 45);
    BOOST_TEST(counts["new"] == 5);
}

BOOST_AUTO_TEST_CASE(a_part_without_weight_gets_nothing)
{
    auto split = make_route("split", "a.example", "/x/");
    split.parts = {{"old", 0}, {"new", 3}};
    split_picker picker{1};
    for (int i = 0; i < 10; ++i)
    {
        BOOST_TEST(picker.next(split) == "new");
    }
}

// Pattern: a large fleet, in which each daemon sees a few requests.
BOOST_AUTO_TEST_CASE(a_split_holds_over_many_daemons_with_few_requests)
{
    auto split = make_route("split", "a.example", "/x/");
    split.parts = {{"old", 90}, {"new", 10}};
    constexpr std::uint64_t daemons = 740;
    constexpr int requests_each = 4;
    std::map<std::string, int> counts;
    for (std::uint64_t daemon = 0; daemon < daemons; ++daemon)
    {
        split_picker picker{daemon};
        for (int i = 0; i < requests_each; ++i)
        {
            ++counts[picker.next(split)];
        }
    }
    const double share = counts["new"] / double{daemons * requests_each};
    BOOST_TEST(share > 0.08);
    BOOST_TEST(share < 0.12);
}

BOOST_AUTO_TEST_CASE(a_part_whose_weight_becomes_zero_gets_nothing_at_once)
{
    auto split = make_route("split", "a.example", "/x/");
    for (std::uint64_t seed = 0; seed < 50; ++seed)
    {
        split.parts = {{"old", 50}, {"new", 50}};
        split_picker picker{seed};
        static_cast<void>(picker.next(split));
        for (const auto drained : {0U, 1U})
        {
            split.parts = {{"old", 1}, {"new", 1}};
            split.parts[drained].weight = 0;
            BOOST_TEST(picker.next(split) != split.parts[drained].service);
        }
    }
}

BOOST_AUTO_TEST_CASE(weights_that_change_hold_from_the_next_request)
{
    auto split = make_route("split", "a.example", "/x/");
    split_picker picker{1};
    split.parts = {{"old", 90}, {"new", 10}};
    for (int i = 0; i < 7; ++i)
    {
        static_cast<void>(picker.next(split));
    }
    split.parts = {{"old", 10}, {"new", 90}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 50; ++i)
    {
        ++counts[picker.next(split)];
    }
    BOOST_TEST(counts["old"] == 5);
    BOOST_TEST(counts["new"] == 45);
}

BOOST_AUTO_TEST_SUITE_END()
