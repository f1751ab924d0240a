// Tests of messages whose framing is faulty or costs too much, from callers and
// from workers: the daemon goes on, and what broke off is never complete.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>
#include <string>
#include <string_view>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "front/front_fixture.hpp"

using namespace waxwingvalve::tests;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr std::string_view chunked_head =
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nSignature: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

scripted_reply reply_success(int)
{
    return {.answer = success_answer("whole")};
}

std::string chunked_request(std::string_view id, std::string_view chunks)
{
    return "POST /unsafe/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " +
           std::string{id} +
           "\r\nDeadline: 5000\r\nTransfer-Encoding: chunked\r\n\r\n" +
           std::string{chunks};
}

// The answer to a request that is not idempotent, from a worker that sends
// these bytes to the first request and sound answers to later ones.
std::string answer_to(std::string_view bytes, bool close = false)
{
    front_fixture front;
    front.add_worker(
        "a",
        [&](int number)
        {
            return number == 1
                       ? scripted_reply{.answer = std::string{bytes}, .close = close}
                       : reply_success(number);
        });
    auto response = front.exchange(non_idempotent_request("1"), 300ms);
    // The daemon serves the next one.
    const auto next = front.exchange(idempotent_request("2"), 300ms);
    BOOST_TEST(contains(next, "HTTP/1.1 200"));
    BOOST_TEST(front.memory.answers.used() == 0U);
    return response;
}

// Sends each piece in a segment of its own.
std::string exchange_in_pieces(
    front_fixture& front, std::string_view bytes, std::size_t whole)
{
    tcp::socket socket{front.loop};
    socket.connect(
        {asio::ip::make_address(front.address.address), front.address.port});
    asio::write(socket, asio::buffer(bytes.substr(0, whole)));
    front.run_for(20ms);
    for (const char byte : bytes.substr(whole))
    {
        asio::write(socket, asio::buffer(&byte, 1));
        front.run_for(5ms);
    }
    front.run_for(50ms);
    std::string response(socket.available(), '\0');
    response.resize(socket.read_some(asio::buffer(response)));
    return response;
}

} // namespace

BOOST_AUTO_TEST_SUITE(framing)

// Guards against review/2: a long field in the trailer of a worker's answer
// ended the daemon.
BOOST_AUTO_TEST_CASE(an_answer_with_an_oversized_trailer_is_refused)
{
    const auto response = answer_to(
        std::string{chunked_head} +
        "3\r\nabc\r\n0\r\nLong: " + std::string(70'000, 'x') + "\r\n\r\n");
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
    BOOST_TEST(!contains(response, "abc"));
}

// The same from a caller.
BOOST_AUTO_TEST_CASE(a_request_with_an_oversized_trailer_is_refused)
{
    front_fixture front;
    auto& worker = front.add_worker("a", reply_success);
    const auto response = front.exchange(
        chunked_request(
            "1",
            "3\r\nabc\r\n0\r\nLong: " + std::string(70'000, 'x') + "\r\n\r\n"),
        300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 431"));
    BOOST_TEST(contains(response, "2022"));
    BOOST_TEST(contains(response, "Connection: close"));
    BOOST_TEST(worker.requests().empty());
    BOOST_TEST(contains(
        front.exchange(idempotent_request("2"), 300ms), "HTTP/1.1 200"));
}

// Guards against review/3: bytes without end where the size of a chunk is due
// took the daemon's memory.
BOOST_AUTO_TEST_CASE(an_answer_with_an_endless_chunk_size_is_refused)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto response = answer_to(
        std::string{chunked_head} + "3\r\nabc\r\n" +
        std::string(1'000'000, '1'));
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
    // At once, in place of the route's timeout of 800 ms.
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 750ms));
}

// The same from a caller.
BOOST_AUTO_TEST_CASE(a_request_with_an_endless_chunk_size_is_refused)
{
    front_fixture front;
    auto& worker = front.add_worker("a", reply_success);
    const auto response = front.exchange(
        chunked_request("1", std::string(1'000'000, '1')), 300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 431"));
    BOOST_TEST(contains(response, "2022"));
    BOOST_TEST(worker.requests().empty());
    BOOST_TEST(front.memory.requests.used() == 0U);
}

// Guards against the end of the process: Beast's parser asserts that the end of
// a chunked body does not come in such pieces.
BOOST_AUTO_TEST_CASE(a_chunked_request_without_bytes_may_come_in_pieces)
{
    front_fixture front;
    auto& worker = front.add_worker("a", reply_success);
    const auto bytes = chunked_request("1", "0\r\n\r\n");
    const auto response = exchange_in_pieces(front, bytes, bytes.size() - 2);
    BOOST_TEST(contains(response, "HTTP/1.1 200"));
    BOOST_TEST(worker.requests().size() == 1U);
}

// Guards against an answer that breaks off in its head and reaches the caller
// as a success without a body.
BOOST_AUTO_TEST_CASE(an_answer_that_breaks_off_is_no_success)
{
    const std::array<std::string, 3> answers{
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nSignature: s\r\n"
        "Content-Length: 3\r\n\r\nabc",
        std::string{chunked_head} + "3\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nSignature: s\r\n\r\n"};
    for (const auto& whole : answers)
    {
        for (std::size_t size = 0; size < whole.size(); size += 5)
        {
            BOOST_TEST_CONTEXT("the first " << size << " bytes of " << whole)
            {
                const auto response = answer_to(whole.substr(0, size), true);
                BOOST_TEST(contains(response, "HTTP/1.1 502"));
                BOOST_TEST(!contains(response, "HTTP/1.1 200"));
            }
        }
    }
}

// A worker sends interim answers for as long as the daemon reads them.
BOOST_AUTO_TEST_CASE(interim_answers_without_end_are_refused)
{
    std::string interim;
    for (int i = 0; i < 1'000; ++i)
    {
        interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
    }
    const auto response = answer_to(interim);
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
}

BOOST_AUTO_TEST_SUITE_END()
