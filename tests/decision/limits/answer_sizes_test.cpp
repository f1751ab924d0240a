// Tests what memory an answer is expected to need.
#include <boost/test/unit_test.hpp>

#include <string>

#include "decision/limits/answer_sizes.hpp"
#include "decision/steering/oversized_answers.hpp"

using namespace waxwingvalve;
using decision::limits::answer_sizes;
using decision::steering::oversized_answers;
using namespace std::chrono_literals;

namespace
{

const base::instant start{1'000s};

} // namespace

BOOST_AUTO_TEST_SUITE(answer_memory_decisions)

BOOST_AUTO_TEST_CASE(the_largest_of_two_windows_counts)
{
    answer_sizes sizes;
    sizes.record("a", 500, start);
    sizes.record("a", 9'000, start + 1s);
    sizes.record("a", 600, start + 2s);
    BOOST_TEST(sizes.largest("a", start + 3s) == 9'000U);
    BOOST_TEST(sizes.largest("b", start + 3s) == 0U);
    sizes.record("a", 700, start + 11s);
    BOOST_TEST(sizes.largest("a", start + 12s) == 9'000U);
    sizes.record("a", 800, start + 22s);
    BOOST_TEST(sizes.largest("a", start + 23s) == 800U);
    BOOST_TEST(sizes.largest("a", start + 60s) == 0U);
}

// Guards against a table that grows with every name a route ever had.
BOOST_AUTO_TEST_CASE(routes_without_answers_of_late_are_forgotten)
{
    answer_sizes sizes;
    for (int i = 0; i < 5'000; ++i)
    {
        sizes.record(std::to_string(i), 100, start + i * 100ms);
        BOOST_TEST(sizes.routes() <= answer_sizes::many_routes);
    }
}

BOOST_AUTO_TEST_CASE(one_oversized_answer_excludes_no_worker)
{
    oversized_answers answers;
    BOOST_TEST(!answers.record(start));
    BOOST_TEST(!answers.record(start + 31s));
    BOOST_TEST(answers.record(start + 32s));
    BOOST_TEST(answers.record(start + 50s));
}

BOOST_AUTO_TEST_SUITE_END()
