// Tests that requests in flight end with the event loop that carries them.
#include <boost/test/unit_test.hpp>

#include <memory>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "front/front_fixture.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(request_flows)

// Requests in flight, their connections and their callers' sessions owned each
// other, and were leaked when their event loop ended.
BOOST_AUTO_TEST_CASE(a_request_in_flight_ends_with_its_event_loop)
{
    auto front = std::make_unique<front_fixture>();
    front->add_worker("a", [](int) { return scripted_reply{}; });
    const auto worker = front->view.workers().find("a");
    {
        tcp::socket caller{front->loop};
        caller.connect(
            {boost::asio::ip::make_address(front->address.address),
             front->address.port});
        boost::asio::write(
            caller, boost::asio::buffer(idempotent_request("r1")));
        front->run_for(100ms);
        BOOST_REQUIRE(worker->in_flight() == 1U);
    }
    front.reset();
    BOOST_TEST(worker->in_flight() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
