// Tests order, expiry and bounds of the queue for slots.
#include <boost/test/unit_test.hpp>

#include "decision/limits/wait_queue.hpp"

using namespace waxwingvalve;
using decision::limits::max_wait;
using decision::limits::wait_queue;
using schema::priority;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr base::instant start{};
constexpr base::instant far = start + seconds{60};

} // namespace

BOOST_AUTO_TEST_SUITE(queue_for_slots)

BOOST_AUTO_TEST_CASE(higher_priorities_go_first_and_equals_in_order)
{
    wait_queue<int> queue;
    BOOST_REQUIRE(queue.enqueue(1, priority::background, start, far));
    BOOST_REQUIRE(queue.enqueue(2, priority::interactive, start, far));
    BOOST_REQUIRE(queue.enqueue(3, priority::critical, start, far));
    BOOST_REQUIRE(queue.enqueue(4, priority::interactive, start, far));
    for (const int expected : {3, 2, 4, 1})
    {
        BOOST_TEST(queue.next(start).value() == expected);
    }
    BOOST_TEST(!queue.next(start).has_value());
}

BOOST_AUTO_TEST_CASE(expired_requests_are_discarded)
{
    wait_queue<int> queue;
    BOOST_REQUIRE(queue.enqueue(1, priority::interactive, start, far));
    BOOST_REQUIRE(
        queue.enqueue(2, priority::critical, start, start + milliseconds{5}));
    BOOST_TEST(queue.next(start + milliseconds{5}).value() == 1);
    BOOST_REQUIRE(queue.enqueue(3, priority::background, start, far));
    const auto late = start + max_wait(priority::background);
    BOOST_TEST(!queue.next(late).has_value());
}

BOOST_AUTO_TEST_CASE(a_request_that_would_expire_first_is_refused_on_arrival)
{
    wait_queue<int> queue;
    auto now = start;
    // One dequeue every 100 ms.
    for (int i = 0; i < 100; ++i)
    {
        BOOST_REQUIRE(queue.enqueue(i, priority::interactive, now, far));
        BOOST_REQUIRE(queue.next(now).has_value());
        now += milliseconds{100};
    }
    int accepted{0};
    while (queue.enqueue(accepted, priority::interactive, now, far))
    {
        ++accepted;
    }
    BOOST_TEST(accepted >= 3);
    BOOST_TEST(accepted <= 4);
    // A higher priority does not wait behind a lower one.
    BOOST_TEST(queue.enqueue(99, priority::critical, now, far).has_value());
    const auto refused =
        queue.enqueue(100, priority::background, now, far).error();
    BOOST_TEST((refused.code == base::result_code::overloaded));
}

BOOST_AUTO_TEST_CASE(the_queue_is_bounded_in_count)
{
    wait_queue<std::size_t> queue;
    for (std::size_t i = 0; i < queue.max_waiting; ++i)
    {
        BOOST_REQUIRE(queue.enqueue(i, priority::critical, start, far));
    }
    BOOST_TEST(!queue.enqueue(0, priority::critical, start, far).has_value());
    queue.remove(7);
    BOOST_TEST(queue.enqueue(0, priority::critical, start, far).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
