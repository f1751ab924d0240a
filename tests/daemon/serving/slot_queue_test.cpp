#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "daemon/serving/slot_queue.hpp"

using namespace waxwingvalve;
using base::monotonic_clock;
using daemon::serving::slot_queue;
using schema::priority;
using std::chrono::milliseconds;

namespace
{

namespace asio = boost::asio;

const base::endpoint worker{"127.0.0.1", 9000};

// One worker with one slot, which is taken.
struct full_worker
{
    full_worker()
    {
        const std::vector<decision::limits::service_share> owned{
            {"herdbook", base::duration{}, {{worker, 1}}}};
        slots->admission().set_owned_workers(owned, monotonic_clock::now());
        BOOST_REQUIRE(take());
    }

    bool take()
    {
        return slots->take("herdbook", priority::interactive, {}).has_value();
    }

    asio::awaitable<void> wait(
        priority rank, std::string name, milliseconds time)
    {
        auto got = co_await slots->wait(
            "herdbook", rank, monotonic_clock::now() + time);
        order.push_back(
            got ? name : std::string{base::describe(got.error().code).name});
    }

    void spawn(priority rank, const std::string& name, milliseconds time)
    {
        asio::co_spawn(context, wait(rank, name, time), asio::detached);
    }

    asio::io_context context;
    std::shared_ptr<slot_queue> slots{
        std::make_shared<slot_queue>(context.get_executor())};
    std::vector<std::string> order;
};

constexpr milliseconds long_time{10'000};

} // namespace

BOOST_FIXTURE_TEST_SUITE(queue_in_front_of_slots, full_worker)

BOOST_AUTO_TEST_CASE(a_released_slot_goes_to_the_highest_priority)
{
    spawn(priority::background, "read", long_time);
    spawn(priority::critical, "filing", long_time);
    context.poll();
    slots->release(worker);
    context.poll();
    BOOST_TEST((order == std::vector<std::string>{"filing"}));
    BOOST_TEST(!take());
    slots->release(worker);
    context.poll();
    BOOST_TEST((order == std::vector<std::string>{"filing", "read"}));
}

BOOST_AUTO_TEST_CASE(nobody_overtakes_a_waiting_request)
{
    spawn(priority::interactive, "first", long_time);
    context.poll();
    BOOST_TEST(!take());
    slots->release(worker);
    BOOST_TEST(!take());
    context.poll();
    BOOST_TEST((order == std::vector<std::string>{"first"}));
}

BOOST_AUTO_TEST_CASE(a_wait_ends_by_time)
{
    spawn(priority::interactive, "late", milliseconds{20});
    context.run();
    BOOST_TEST((order == std::vector<std::string>{"queue_timeout"}));
    slots->release(worker);
    BOOST_TEST(take());
}

// The slot was granted, and its request ended before it could use it.
BOOST_AUTO_TEST_CASE(a_slot_granted_in_vain_comes_back)
{
    asio::cancellation_signal hang_up;
    asio::co_spawn(
        context,
        wait(priority::interactive, "gone", long_time),
        asio::bind_cancellation_slot(hang_up.slot(), asio::detached));
    context.poll();
    hang_up.emit(asio::cancellation_type::terminal);
    slots->release(worker);
    context.poll();
    context.restart();
    context.poll();
    const bool unused = order.empty() || order.front() == "queue_timeout";
    BOOST_TEST((unused ? take() : !take()));
}

BOOST_AUTO_TEST_SUITE_END()
