#include "net/signal_reader.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

#include <pthread.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

using namespace waxwingvalve;
using namespace std::chrono_literals;

namespace
{

struct signal_fixture
{
    // What the case before has left pending is none of this one's.
    signal_fixture()
    {
        sigset_t all;
        ::sigfillset(&all);
        const timespec no_time{};
        while (::sigtimedwait(&all, nullptr, &no_time) > 0)
        {
        }
    }

    net::blocked_signals blocked{SIGUSR1, SIGUSR2};
    boost::asio::io_context loop{1};
    net::signal_reader reader{loop, blocked};
    std::vector<int> received{};
    pthread_t self{::pthread_self()};

    void start()
    {
        reader.start([this](int signal) { received.push_back(signal); });
    }
    void send(int signal) const { ::pthread_kill(self, signal); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(signal_readers, signal_fixture)

BOOST_AUTO_TEST_CASE(a_signal_from_before_the_start_is_handled)
{
    send(SIGUSR2);
    start();
    loop.run_for(20ms);
    BOOST_TEST(received == std::vector<int>{SIGUSR2});
    send(SIGUSR1);
    loop.run_for(20ms);
    BOOST_TEST(received == (std::vector<int>{SIGUSR2, SIGUSR1}));
}

// FAULT: signals without a pause kept the loop from its timers, and a stopping
// daemon stayed beyond its stop time.
BOOST_AUTO_TEST_CASE(a_flood_of_signals_does_not_hold_back_a_timer)
{
    start();
    std::atomic<bool> done{false};
    std::thread flood{[&]
                      {
                          while (!done)
                          {
                              send(SIGUSR1);
                              send(SIGUSR2);
                          }
                      }};
    boost::asio::steady_timer timer{loop, 300ms};
    bool fired = false;
    timer.async_wait([&](const boost::system::error_code&) { fired = true; });
    loop.run_for(600ms);
    done = true;
    flood.join();
    BOOST_TEST(fired);
    BOOST_TEST(received.size() > 100U);
}

// FAULT: a daemon that was sent SIGHUP without a pause never read the SIGTERM
// that came with it, since the kernel gives the lowest pending signal first.
BOOST_AUTO_TEST_CASE(a_signal_that_is_always_pending_does_not_hide_another)
{
    reader.start(
        [this](int signal)
        {
            received.push_back(signal);
            if (signal == SIGUSR1)
            {
                send(SIGUSR1);
            }
        });
    send(SIGUSR1);
    send(SIGUSR2);
    loop.run_for(50ms);
    BOOST_TEST(std::ranges::count(received, SIGUSR2) == 1);
    BOOST_TEST(std::ranges::count(received, SIGUSR1) > 1);
}

BOOST_AUTO_TEST_SUITE_END()
