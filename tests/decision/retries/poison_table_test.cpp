// Tests the detection of requests that crash workers.
#include <array>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "decision/retries/poison_table.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::decision::retries;

namespace
{

constexpr base::instant start{std::chrono::hours{1}};
constexpr request_digest poison = 1;

} // namespace

BOOST_AUTO_TEST_SUITE(poison_tables)

BOOST_AUTO_TEST_CASE(refuses_after_the_second_death)
{
    poison_table table;
    BOOST_TEST((table.admit(poison, 0, start) == poison_verdict::clear));
    table.worker_died(std::array{poison}, start);
    BOOST_TEST((table.admit(poison, 0, start) == poison_verdict::run_alone));
    BOOST_TEST((table.admit(poison, 0, start) == poison_verdict::wait));
    table.worker_died(std::array{poison}, start);
    BOOST_TEST((table.admit(poison, 0, start) == poison_verdict::refuse));
    BOOST_TEST(table.digests_to_publish(start).size() == 2U);
    const auto later = start + poison_table::retention;
    BOOST_TEST((table.admit(poison, 0, later) == poison_verdict::clear));
    BOOST_TEST(table.digests_to_publish(later).empty());
}

BOOST_AUTO_TEST_CASE(deaths_elsewhere_count)
{
    poison_table table;
    BOOST_TEST((table.admit(poison, 2, start) == poison_verdict::refuse));
    BOOST_TEST((table.admit(poison, 1, start) == poison_verdict::run_alone));
    table.worker_died(std::array{poison}, start);
    BOOST_TEST((table.admit(poison, 1, start) == poison_verdict::refuse));
}

// Requests run together on workers; one digest ends each worker that runs
// it. Copies are sent one wave after another.
BOOST_AUTO_TEST_CASE(others_on_a_dead_worker_are_never_refused)
{
    const bool holds = rc::check(
        "poison table",
        []
        {
            poison_table table;
            auto now = start;
            int deaths = 0;
            const auto waves =
                *rc::gen::container<std::vector<std::vector<request_digest>>>(
                    rc::gen::container<std::vector<request_digest>>(
                        rc::gen::inRange<request_digest>(1, 6)));
            for (const auto& wave : waves)
            {
                now += std::chrono::seconds{1};
                std::vector<request_digest> together;
                bool killed = false;
                for (const auto digest : wave)
                {
                    const auto verdict = table.admit(digest, 0, now);
                    RC_ASSERT(
                        digest == poison || verdict != poison_verdict::refuse);
                    RC_ASSERT(
                        deaths < 2 || digest != poison ||
                        verdict == poison_verdict::refuse);
                    if (verdict == poison_verdict::clear)
                    {
                        together.push_back(digest);
                        killed = killed || digest == poison;
                    }
                    if (verdict == poison_verdict::run_alone &&
                        digest == poison)
                    {
                        ++deaths;
                        table.worker_died(std::array{digest}, now);
                    }
                    else if (verdict == poison_verdict::run_alone)
                    {
                        table.clear_suspect(digest);
                    }
                }
                if (killed)
                {
                    ++deaths;
                    table.worker_died(together, now);
                }
                RC_ASSERT(deaths <= 2);
            }
        });
    BOOST_TEST(holds);
}

// Two copies of the poison meet the same look-up on two workers at once.
BOOST_AUTO_TEST_CASE(deaths_in_company_prove_nothing_of_the_others)
{
    constexpr request_digest innocent = 2;
    poison_table table;
    table.worker_died(std::array{poison, innocent}, start);
    table.worker_died(std::array{poison, innocent}, start);
    BOOST_TEST((table.admit(innocent, 0, start) == poison_verdict::run_alone));
    table.clear_suspect(innocent);
    BOOST_TEST((table.admit(innocent, 0, start) == poison_verdict::clear));
    BOOST_TEST(table.digests_to_publish(start).empty());
}

BOOST_AUTO_TEST_CASE(its_size_is_bounded_and_proof_stays_longest)
{
    poison_table table;
    table.worker_died(std::array{poison}, start);
    for (request_digest digest = 2; digest < 2000; digest += 2)
    {
        table.worker_died(std::array{digest, digest + 1}, start);
    }
    BOOST_TEST(table.size() <= poison_table::max_digests);
    BOOST_TEST((table.admit(poison, 0, start) == poison_verdict::run_alone));
}

BOOST_AUTO_TEST_SUITE_END()
