#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/log.hpp"

using namespace waxwingvalve::base;

BOOST_AUTO_TEST_SUITE(logs)

// Several duties log at once while the writer drains and is stopped.
BOOST_AUTO_TEST_CASE(takes_lines_from_many_threads)
{
    constexpr int threads = 4;
    constexpr int lines_each = 500;
    {
        const log_writer writer;
        std::vector<std::thread> duties;
        duties.reserve(threads);
        for (int duty = 0; duty < threads; ++duty)
        {
            duties.emplace_back(
                [duty]
                {
                    for (int line = 0; line < lines_each; ++line)
                    {
                        log_event(
                            log_level::info,
                            log_channel::daemon,
                            "test",
                            "duty",
                            duty,
                            "line",
                            line);
                    }
                });
        }
        for (auto& duty : duties)
        {
            duty.join();
        }
    }
    BOOST_TEST(log_lines_dropped() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
