// How much more load retries put on upstreams that fail.
#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "end_to_end/answers_fixture.hpp"

using namespace waxwingvalve;
using harness::answers_cluster;
using harness::caller_result;

namespace
{

void fail(const answers_cluster& cluster, int percent)
{
    cluster.set_all_faults(fmt::format(R"({{"fail_percent": {}}})", percent));
}

} // namespace

BOOST_AUTO_TEST_SUITE(retries)

BOOST_AUTO_TEST_CASE(a_brown_out_gets_a_tenth_more_attempts_at_most)
{
    const answers_cluster cluster{1, 12, false};
    for (const int percent : {0, 50, 100})
    {
        // Spends what was saved before. While only some requests fail, one
        // saved attempt may be left when the measured part begins.
        fail(cluster, percent == 0 ? 0 : 100);
        cluster.drive({.name = "settle", .callers = 8, .requests_each = 100});
        fail(cluster, percent);
        const auto before = cluster.runs().size();
        const auto got = cluster.drive(
            {.name = "steady", .callers = 8, .requests_each = 125});
        const auto attempts = cluster.runs().size() - before;
        const auto good = std::ranges::count(got, 200U, &caller_result::status);
        BOOST_TEST_MESSAGE(fmt::format(
            "figure: {}% failing, {} attempts for {} requests, {} answered 200",
            percent,
            attempts,
            got.size(),
            good));
        BOOST_TEST(attempts * 10 <= got.size() * 11);
        BOOST_TEST(attempts >= got.size());
    }
}

BOOST_AUTO_TEST_SUITE_END()
