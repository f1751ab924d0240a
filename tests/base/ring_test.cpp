#include <thread>

#include <boost/test/unit_test.hpp>

#include "base/ring.hpp"

using waxwingvalve::base::ring;

BOOST_AUTO_TEST_SUITE(rings)

BOOST_AUTO_TEST_CASE(refuses_when_full)
{
    ring<int> items{2};
    BOOST_TEST(items.push(1));
    BOOST_TEST(items.push(2));
    BOOST_TEST(!items.push(3));
    BOOST_TEST(items.pop().value() == 1);
    BOOST_TEST(items.push(3));
}

BOOST_AUTO_TEST_CASE(keeps_order_between_two_threads)
{
    constexpr int count = 20'000;
    ring<int> items{64};
    std::thread writer{[&]
                       {
                           for (int item = 0; item < count; ++item)
                           {
                               while (!items.push(int{item}))
                               {
                                   std::this_thread::yield();
                               }
                           }
                       }};
    int expected = 0;
    bool in_order = true;
    while (expected < count)
    {
        if (const auto item = items.pop())
        {
            in_order = in_order && *item == expected;
            ++expected;
        }
    }
    writer.join();
    BOOST_TEST(in_order);
}

BOOST_AUTO_TEST_SUITE_END()
