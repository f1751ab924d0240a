// For how long an answer is read that comes in pieces.
#include <chrono>
#include <string>
#include <thread>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "net/http_client.hpp"
#include "net/run_blocking.hpp"

using namespace waxwingvalve;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace
{

struct slow_answer
{
    // Bytes of the body.
    int bytes{};
    std::chrono::milliseconds pause{};
};

// Answers one request, the body byte by byte with a pause before each.
class slow_server
{
public:
    explicit slow_server(slow_answer answer)
        : thread_{[this, answer] { serve(answer); }}
    {
    }
    ~slow_server() { thread_.join(); }
    slow_server(const slow_server&) = delete;
    slow_server& operator=(const slow_server&) = delete;

    base::endpoint where() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

private:
    void serve(slow_answer answer)
    {
        boost::system::error_code failure;
        auto socket = acceptor_.accept(failure);
        std::string request;
        boost::asio::read_until(
            socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", failure);
        const auto head = "HTTP/1.1 200 OK\r\nContent-Length: " +
                          std::to_string(answer.bytes) + "\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(head), failure);
        for (int sent = 0; sent < answer.bytes && !failure; ++sent)
        {
            std::this_thread::sleep_for(answer.pause);
            boost::asio::write(socket, boost::asio::buffer("x", 1), failure);
        }
    }

    boost::asio::io_context context_;
    tcp::acceptor acceptor_{
        context_, {boost::asio::ip::address_v4::loopback(), 0}};
    std::thread thread_;
};

struct times
{
    base::duration first_byte{};
    base::duration max_pause{};
    base::duration end{};
};

boost::asio::awaitable<net::exchange_result> read_answer(
    base::endpoint where, times allowed)
{
    const auto now = base::monotonic_clock::now();
    net::http_connection connection{co_await boost::asio::this_coro::executor};
    auto connected = co_await connection.connect(where, now + 1s);
    if (!connected)
    {
        co_return boost::outcome_v2::failure(
            net::exchange_failure{connected.error()});
    }
    net::http_request request;
    request.method = "GET";
    request.target = "/";
    const net::answer_time time{
        .first_byte_by = now + allowed.first_byte,
        .max_pause = allowed.max_pause,
        .end_by = now + allowed.end};
    co_return co_await connection.exchange(request, time);
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_times)

// Guards against an answer that is given up while it arrives.
BOOST_AUTO_TEST_CASE(an_answer_is_read_while_it_arrives)
{
    const slow_server server{{.bytes = 12, .pause = 50ms}};
    const auto answer = net::run_blocking(read_answer(
        server.where(), {.first_byte = 300ms, .max_pause = 300ms, .end = 20s}));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer.value().body == std::string(12, 'x'));
}

BOOST_AUTO_TEST_CASE(an_answer_that_stands_still_is_given_up)
{
    const slow_server server{{.bytes = 2, .pause = 1'500ms}};
    const auto answer = net::run_blocking(read_answer(
        server.where(), {.first_byte = 1s, .max_pause = 200ms, .end = 20s}));
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST(
        (answer.error().reason.code == base::result_code::deadline_passed));
}

// Guards against a reader that an endless answer holds for ever.
BOOST_AUTO_TEST_CASE(an_answer_that_never_ends_is_given_up)
{
    const slow_server server{{.bytes = 60, .pause = 50ms}};
    const auto started_at = base::monotonic_clock::now();
    const auto answer = net::run_blocking(read_answer(
        server.where(), {.first_byte = 1s, .max_pause = 1s, .end = 500ms}));
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((base::monotonic_clock::now() - started_at >= 500ms));
}

BOOST_AUTO_TEST_SUITE_END()
