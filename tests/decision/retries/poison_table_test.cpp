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

BOOST_AUTO_TEST_CASE(deaths_reported_by_other_daemons_count)
{
    poison_table table;
    BOOST_TEST((table.admit(poison, 2, start) == poison_verdict::refuse));
    BOOST_TEST((table.admit(poison, 1, start) == poison_verdict::run_alone));
    table.worker_died(std::array{poison}, start);
    BOOST_TEST((table.admit(poison, 1, start) == poison_verdict::refuse));
}

// Guards against refusing requests that only shared a worker with a poison
// request. The requests of each wave run together on one worker; the poison
// digest crashes every worker that runs it.
BOOST_AUTO_TEST_CASE(other_requests_on_a_dead_worker_are_never_refused)
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
                std::vector<request_digest> running;
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
                        running.push_back(digest);
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
                    table.worker_died(running, now);
                }
                RC_ASSERT(deaths <= 2);
            }
        });
    BOOST_TEST(holds);
}

// The same harmless request shares a worker with a poison request twice, so it
// has as many deaths as a refusal needs, but none while it ran alone.
BOOST_AUTO_TEST_CASE(deaths_with_other_requests_running_are_no_proof)
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

BOOST_AUTO_TEST_CASE(size_is_bounded_and_proven_entries_are_evicted_last)
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
