// What the client takes for a whole answer, over answers in fixed bytes.
#include <array>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "net/http_client.hpp"

using namespace waxwingvalve;
using tcp = boost::asio::ip::tcp;

namespace
{

// Answers one request with fixed bytes and closes.
class fixed_answer
{
public:
    explicit fixed_answer(std::string_view bytes)
        : thread_{[this, bytes] { serve(bytes); }}
    {
    }
    ~fixed_answer() { thread_.join(); }
    fixed_answer(const fixed_answer&) = delete;
    fixed_answer& operator=(const fixed_answer&) = delete;

    base::endpoint where() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

private:
    void serve(std::string_view bytes)
    {
        boost::system::error_code ignored;
        auto socket = acceptor_.accept(ignored);
        std::string request;
        boost::asio::read_until(
            socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    }

    boost::asio::io_context context_;
    tcp::acceptor acceptor_{
        context_, {boost::asio::ip::address_v4::loopback(), 0}};
    std::thread thread_;
};

struct row
{
    std::string_view what;
    std::string_view method;
    std::string_view bytes;
    // 0 when the answer must not be taken.
    unsigned status;
    std::string_view body;
};

std::ostream& operator<<(std::ostream& out, const row& one)
{
    return out << one.what;
}

const std::string oversized_trailer =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nLong: " +
    std::string(70'000, 'x') + "\r\n\r\n";
const std::string endless_size =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
    std::string(100'000, '1');

const std::array rows{
    row{"whole",
        "GET",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        200,
        "abc"},
    row{"chunked",
        "GET",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\n\r\n",
        200,
        "abc"},
    row{"cut short",
        "GET",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
        0,
        ""},
    row{"chunks cut short",
        "GET",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        0,
        ""},
    row{"no length", "GET", "HTTP/1.1 200 OK\r\n\r\nabc", 0, ""},
    row{"no length and nothing", "GET", "HTTP/1.1 200 OK\r\n\r\n", 0, ""},
    row{"interim first",
        "GET",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        200,
        "abc"},
    row{"interim only", "GET", "HTTP/1.1 100 Continue\r\n\r\n", 0, ""},
    row{"switch of protocols",
        "GET",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        0,
        ""},
    row{"HEAD with a length",
        "HEAD",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
        200,
        ""},
    row{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
    row{"not modified",
        "GET",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
        304,
        ""},
    row{"not HTTP", "GET", "SSH-2.0-whatever\r\n\r\n", 0, ""},
    row{"two lengths",
        "GET",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
        0,
        ""},
    // Guards against the end of the process: Beast's fields throw for it.
    row{"a trailer that is too large", "GET", oversized_trailer, 0, ""},
    row{"a size of a chunk without end", "GET", endless_size, 0, ""},
    row{"half a head", "GET", "HTTP/1.1 200 OK\r\nContent-Le", 0, ""},
    row{"a head without its last line end",
        "GET",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        0,
        ""},
    row{"nothing", "GET", "", 0, ""}};

} // namespace

BOOST_AUTO_TEST_SUITE(http_client)

BOOST_DATA_TEST_CASE(
    takes_only_whole_answers, boost::unit_test::data::make(rows), sample)
{
    const fixed_answer server{sample.bytes};
    const auto got = net::fetch_blocking(
        server.where(),
        {.method = std::string{sample.method}, .target = "/"},
        std::chrono::seconds{5});
    BOOST_TEST(got.has_value() == (sample.status != 0));
    if (got && sample.status != 0)
    {
        BOOST_TEST(got.value().status == sample.status);
        BOOST_TEST(got.value().body == sample.body);
    }
    if (!got)
    {
        BOOST_TEST(
            (got.error().progress == net::exchange_progress::maybe_sent));
    }
}

BOOST_AUTO_TEST_SUITE_END()
