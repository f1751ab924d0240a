// Tests of the time for which a worker wants no requests, with one daemon and
// with a fleet that is told the same at once.
#include <boost/test/unit_test.hpp>

#include <vector>

#include "decision/steering/worker_backoff.hpp"
#include "decision/steering/worker_table.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace waxwingvalve::decision::steering;
using waxwingvalve::base::instant;

const instant begin{1h};

worker_entry entry(std::int64_t started_at_ms)
{
    worker_entry result;
    result.id = "a";
    result.service = "desk";
    result.address = {"10.0.0.1", 8080};
    result.started_at_ms = started_at_ms;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_backoffs)

BOOST_AUTO_TEST_CASE(nothing_is_sent_until_the_end_of_the_time)
{
    worker_backoff backoff;
    BOOST_TEST(backoff.allows(7, begin));
    backoff.begin(3s, begin);
    BOOST_TEST(!backoff.allows(0, begin));
    BOOST_TEST(!backoff.allows(0, begin + 2999ms));
    BOOST_TEST(backoff.allows(0, begin + 3s));
    BOOST_TEST((backoff.left(begin + 1s) == 2s));
    BOOST_TEST((backoff.left(begin + 4s) == 0s));
}

BOOST_AUTO_TEST_CASE(a_shorter_time_does_not_end_a_longer_one)
{
    worker_backoff backoff;
    backoff.begin(3s, begin);
    backoff.begin(100ms, begin + 1s);
    BOOST_TEST(!backoff.allows(0, begin + 2s));
    // Nor does the answer to a request that was sent before.
    backoff.end_resume(begin + 2s);
    BOOST_TEST(!backoff.allows(0, begin + 2s));
}

BOOST_AUTO_TEST_CASE(negative_and_huge_times_are_bounded)
{
    worker_backoff backoff;
    backoff.begin(-5s, begin);
    BOOST_TEST(backoff.allows(0, begin));
    backoff.begin(100h, begin);
    BOOST_TEST((backoff.left(begin) == worker_backoff::max_time));
}

// A fleet that is told the same time at once does not come back in one wave.
BOOST_AUTO_TEST_CASE(each_daemon_returns_with_one_request)
{
    constexpr std::size_t daemons = 195;
    std::vector<worker> views(daemons, worker{entry(1), begin});
    for (auto& view : views)
    {
        view.backoff().begin(3s, begin);
    }
    std::size_t sent = 0;
    const auto end = begin + 3s;
    for (auto& view : views)
    {
        for (int i = 0; i < 10; ++i)
        {
            if (view.backoff().allows(view.in_flight(), end))
            {
                view.request_sent();
                ++sent;
            }
        }
    }
    BOOST_TEST(sent == daemons);

    // A new refusal holds for the daemon that got it; an answer ends the wait
    // for the next one.
    views[0].request_ended();
    views[0].backoff().begin(3s, end + 50ms);
    BOOST_TEST(!views[0].backoff().allows(0, end + 1s));
    views[1].backoff().end_resume(end + 50ms);
    BOOST_TEST(views[1].backoff().allows(5, end + 50ms));
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_is_not_left_alone)
{
    worker subject{entry(1), begin};
    subject.backoff().begin(3s, begin);
    subject.update(entry(1), begin + 1s);
    BOOST_TEST(!subject.backoff().allows(0, begin + 1s));
    subject.update(entry(2), begin + 1s);
    BOOST_TEST(subject.backoff().allows(9, begin + 1s));
}

BOOST_AUTO_TEST_SUITE_END()
