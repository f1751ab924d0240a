// Tests of how a connection to a worker ends.
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

#include <boost/asio/read.hpp>

#include "front/front_fixture.hpp"
#include "front/upstream_connection.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

struct connection_fixture
{
    asio::io_context loop{1};
    tcp::acceptor acceptor{loop, {asio::ip::address_v4::loopback(), 0}};
    static constexpr std::uint64_t memory_bytes = 64 * 1024;
    std::shared_ptr<front::upstream_connection> connection{
        std::make_shared<front::upstream_connection>(
            loop,
            base::endpoint{"127.0.0.1", acceptor.local_endpoint().port()},
            std::make_shared<base::byte_budget>(memory_bytes),
            memory_bytes)};

    void exchange()
    {
        connection->exchange(
            {.head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
             .body = std::make_shared<const std::string>(),
             .deadline = base::monotonic_clock::now() + 1s},
            [](front::exchange_outcome) {});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_connections, connection_fixture)

// DRAIN: a worker ran a request that had been given up long before, when it
// could be reached again.
BOOST_AUTO_TEST_CASE(a_request_that_is_given_up_is_not_sent_any_more)
{
    tcp::socket worker{loop};
    boost::system::error_code end;
    std::string received;
    acceptor.async_accept(
        worker,
        [&](const boost::system::error_code&)
        {
            asio::async_read(
                worker,
                asio::dynamic_buffer(received),
                [&](const boost::system::error_code& failure, std::size_t)
                { end = failure; });
        });
    exchange();
    loop.run_for(50ms);
    connection->abandon();
    loop.run_for(50ms);
    BOOST_TEST(end == asio::error::connection_reset);
}

BOOST_AUTO_TEST_SUITE_END()
