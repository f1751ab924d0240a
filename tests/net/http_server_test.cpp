// What may come from outside, byte by byte over a raw socket: each bad shape
// is refused with a code, and no request hides behind another.
#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "net/http_server.hpp"

using namespace waxwingvalve;
using boost::asio::ip::tcp;

namespace
{

constexpr std::size_t head_limit = 2048;
constexpr std::size_t body_limit = 4096;
constexpr std::size_t connection_limit = 4;
constexpr std::chrono::milliseconds receive_time{300};

// Three of these are more than the server's answers may take together.
constexpr std::size_t page_bytes = 32 * 1024 * 1024;

net::http_response echo(const net::http_request& in)
{
    net::http_response out;
    if (in.target == "/page")
    {
        out.body = std::string(page_bytes, 'x');
        return out;
    }
    out.body = fmt::format("[{} {} {}]", in.method, in.target, in.body);
    return out;
}

// A server on a thread of its own; /slow answers after a while.
class served
{
public:
    served()
        : server_{
              context_,
              {.head_bytes = head_limit,
               .body_bytes = body_limit,
               .connections = connection_limit,
               .receive_time = receive_time,
               .idle_time = std::chrono::seconds{20}},
              {.fast =
                   [](const net::http_request& in)
               {
                   return in.target == "/slow"
                              ? std::optional<net::http_response>{}
                              : echo(in);
               },
               .route = slow_route,
               .refuse =
                   [](const base::error& reason)
               {
                   net::http_response out;
                   out.status = 400;
                   out.body = fmt::format("<{}>", base::number(reason.code));
                   return out;
               }}}
    {
        while (!server_.listen({"127.0.0.1", port_}))
        {
            ++port_;
        }
        thread_ = std::thread{[this] { context_.run(); }};
    }
    ~served()
    {
        context_.stop();
        thread_.join();
    }
    served(const served&) = delete;
    served& operator=(const served&) = delete;

    tcp::socket connect()
    {
        tcp::socket out{client_};
        out.connect({boost::asio::ip::make_address("127.0.0.1"), port_});
        return out;
    }

    // Sends the bytes and reads until the server closes.
    std::string exchange(std::string_view bytes)
    {
        auto socket = connect();
        boost::system::error_code failure;
        boost::asio::write(socket, boost::asio::buffer(bytes), failure);
        return read_all(socket);
    }

    static std::string read_all(tcp::socket& socket)
    {
        std::string out;
        boost::system::error_code failure;
        boost::asio::read(socket, boost::asio::dynamic_buffer(out), failure);
        return out;
    }

private:
    static boost::asio::awaitable<std::optional<net::http_response>> slow_route(
        net::http_request in)
    {
        boost::asio::steady_timer timer{
            co_await boost::asio::this_coro::executor};
        timer.expires_after(std::chrono::milliseconds{50});
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_return echo(in);
    }

    boost::asio::io_context context_{1};
    boost::asio::io_context client_;
    net::http_server server_;
    std::uint16_t port_{18'080};
    std::thread thread_;
};

std::size_t count(std::string_view text, std::string_view part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string_view::npos;
         at = text.find(part, at + part.size()))
    {
        ++found;
    }
    return found;
}

struct wire_case
{
    std::string name;
    std::string bytes;
    // What the answer holds.
    std::string expected;
};

std::ostream& operator<<(std::ostream& out, const wire_case& one)
{
    return out << one.name;
}

const std::string close_field = "Host: a\r\nConnection: close\r\n";

const wire_case wire_cases[] = {
    {"plain", "GET /a HTTP/1.1\r\n" + close_field + "\r\n", "[GET /a ]"},
    {"body",
     "POST /a HTTP/1.1\r\n" + close_field + "Content-Length: 2\r\n\r\nxy",
     "[POST /a xy]"},
    {"chunked body",
     "POST /a HTTP/1.1\r\n" + close_field +
         "Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
     "[POST /a xy]"},
    {"head too large",
     "GET /a HTTP/1.1\r\nX: " + std::string(2 * head_limit, 'x') + "\r\n\r\n",
     "<2002>"},
    {"body too large",
     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n",
     "<2003>"},
    {"chunked body too large",
     "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "1400\r\n" +
         std::string(0x1400, 'x') + "\r\n0\r\n\r\n",
     "<2003>"},
    {"slow head", "GET /a HTTP/1.1\r\nHo", "<2004>"},
    {"slow body",
     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nxy",
     "<2004>"},
    {"two lengths that differ",
     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
     "Content-Length: 3\r\n\r\nxyz",
     "<2005>"},
    {"two equal lengths",
     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
     "Content-Length: 2\r\n\r\nxy",
     "<2005>"},
    {"a list of lengths",
     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2, 2\r\n\r\nxy",
     "<2005>"},
    {"length and chunked",
     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
     "<2005>"},
    {"chunked and length",
     "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
     "Content-Length: 2\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
     "<2005>"},
    {"two encodings",
     "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
     "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
     "<2005>"},
    {"an encoding that is not chunked at its end",
     "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n"
     "0\r\n\r\n",
     "<2005>"},
    {"a negative length",
     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: -2\r\n\r\n",
     "<2005>"},
    {"a space before the colon",
     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length : 2\r\n\r\nxy",
     "<2001>"},
    {"a bad chunk size",
     "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "zz\r\nxy\r\n0\r\n\r\n",
     "<2001>"},
    // Guards against the end of the process: Beast's fields throw for it.
    {"a trailer too large",
     "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "0\r\nLong: " +
         std::string(70'000, 'x') + "\r\n\r\n",
     "<2022>"},
    // Guards against a buffer without bound.
    {"a size of a chunk without end",
     "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
         std::string(100'000, '1'),
     "<2022>"},
    {"a nul byte in a field",
     std::string{"GET /a HTTP/1.1\r\nHost: a\0b\r\n\r\n", 29},
     "<2001>"},
    {"no HTTP at all", "\x16\x03\x01\x02", "<2001>"},
    {"a later version's preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "<2001>"},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_servers, served)

BOOST_DATA_TEST_CASE(bad_shapes_are_refused_with_a_code, wire_cases, one)
{
    const auto answer = exchange(one.bytes);
    BOOST_TEST_INFO(answer);
    BOOST_TEST(answer.find(one.expected) != std::string::npos);
    // Whatever stood behind a refused request was not taken for another one.
    BOOST_TEST(count(answer, "HTTP/1.1 ") == 1U);
}

// Guards against the end of the process: a Beast parser asserts not to see
// these pieces.
BOOST_AUTO_TEST_CASE(a_chunked_body_without_bytes_may_come_in_pieces)
{
    auto socket = connect();
    const std::array<std::string, 3> pieces{
        "POST /a HTTP/1.1\r\n" + close_field +
            "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        "\r",
        "\n"};
    for (const auto& piece : pieces)
    {
        boost::asio::write(socket, boost::asio::buffer(piece));
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    BOOST_TEST(read_all(socket).find("[POST /a ]") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order)
{
    const auto answer =
        exchange("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /b HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto slow = answer.find("[GET /slow ]");
    const auto second = answer.find("[GET /b ]");
    const auto third = answer.find("[GET /c ]");
    BOOST_REQUIRE(third != std::string::npos);
    BOOST_TEST(slow < second);
    BOOST_TEST(second < third);
}

// Guards against callers that fetch large answers and leave them unread.
BOOST_AUTO_TEST_CASE(beside_unread_answers_further_requests_are_refused)
{
    served server;
    const auto refused =
        fmt::format("<{}>", base::number(base::result_code::overloaded));
    {
        std::vector<tcp::socket> unreading;
        unreading.reserve(3);
        for (int i = 0; i < 3; ++i)
        {
            unreading.push_back(server.connect());
            boost::asio::write(
                unreading.back(),
                boost::asio::buffer(
                    std::string_view{"GET /page HTTP/1.1\r\nHost: a\r\n\r\n"}));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{500});
        const auto answer = server.exchange(
            "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        BOOST_TEST(answer.find(refused) != std::string::npos);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
    const auto answer = server.exchange(
        "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    BOOST_TEST(answer.find("[GET /a ]") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(one_connection_too_many_is_told_so)
{
    std::vector<tcp::socket> kept;
    for (std::size_t at = 0; at < connection_limit; ++at)
    {
        kept.push_back(connect());
        boost::asio::write(
            kept.back(),
            boost::asio::buffer(
                std::string_view{"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"}));
        char byte{};
        boost::asio::read(kept.back(), boost::asio::buffer(&byte, 1));
    }
    auto refused = connect();
    const auto answer = read_all(refused);
    BOOST_TEST(answer.find("<2006>") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
