// Tests that answers which break off, or whose head RFC 9110 and 9112 do not
// allow, never reach a caller.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "front/front_fixture.hpp"
#include "front/upstream_connection.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;

namespace
{

constexpr std::size_t upload_bytes = 4'000'000;
constexpr std::string_view part_of_an_answer =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nSignature: s\r\n\r\npart";

// A worker that does not read an upload, and the daemon's connection to it.
struct unread_upload
{
    asio::io_context loop{1};
    tcp::acceptor acceptor{loop, {asio::ip::address_v4::loopback(), 0}};
    tcp::socket worker{loop};
    static constexpr std::uint64_t memory_bytes = 64 * 1024;
    std::shared_ptr<front::upstream_connection> connection{
        std::make_shared<front::upstream_connection>(
            loop,
            base::endpoint{"127.0.0.1", acceptor.local_endpoint().port()},
            std::make_shared<base::byte_budget>(memory_bytes),
            memory_bytes)};
    std::optional<front::exchange_outcome> outcome{};

    unread_upload()
    {
        acceptor.async_accept(worker, [](const boost::system::error_code&) {});
        connection->exchange(
            {.head = fmt::format(
                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n",
                 upload_bytes),
             .body = std::make_shared<const std::string>(upload_bytes, 'x'),
             .id_field = "Attempt-Id",
             .id = "1",
             .deadline = base::monotonic_clock::now() + 2s},
            [this](front::exchange_outcome ended)
            { outcome = std::move(ended); });
        loop.run_for(50ms);
    }
};

// The status and head that a worker sends before a success, which has to come
// from another worker.
struct answers_of_two_workers
{
    explicit answers_of_two_workers(std::string first)
    {
        const auto next_reply = [this, first = std::move(first)](int)
        {
            ++seen;
            return seen == 1
                       ? scripted_reply{.answer = first}
                       : scripted_reply{.answer = success_answer("whole")};
        };
        front.add_worker("a", next_reply);
        front.add_worker("b", next_reply);
    }

    front_fixture front;
    int seen{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(broken_answers)

// MIXED: the connection's reset was reported to the pending write of the
// upload, so that the read saw an orderly end and took the part for the whole.
BOOST_AUTO_TEST_CASE(a_reset_that_ends_an_upload_ends_no_answer)
{
    unread_upload upload;
    asio::write(upload.worker, asio::buffer(part_of_an_answer));
    upload.worker.set_option(asio::socket_base::linger{true, 0});
    upload.worker.close();
    upload.loop.run_for(200ms);
    BOOST_REQUIRE(upload.outcome.has_value());
    BOOST_TEST(
        (upload.outcome->status == front::exchange_status::invalid_answer));
}

// The part is read before the reset comes.
BOOST_AUTO_TEST_CASE(a_later_reset_that_ends_an_upload_ends_no_answer)
{
    unread_upload upload;
    asio::write(upload.worker, asio::buffer(part_of_an_answer));
    upload.loop.run_for(50ms);
    BOOST_REQUIRE(!upload.outcome.has_value());
    upload.worker.set_option(asio::socket_base::linger{true, 0});
    upload.worker.close();
    upload.loop.run_for(200ms);
    BOOST_REQUIRE(upload.outcome.has_value());
    BOOST_TEST(
        (upload.outcome->status == front::exchange_status::invalid_answer));
}

// A worker may end its answer before it has read the upload; it is complete
// once the upload could be written whole.
BOOST_AUTO_TEST_CASE(an_answer_that_ends_in_order_before_its_upload_is_whole)
{
    unread_upload upload;
    asio::write(upload.worker, asio::buffer(part_of_an_answer));
    upload.worker.shutdown(tcp::socket::shutdown_send);
    std::string unread(upload_bytes, '\0');
    asio::async_read(
        upload.worker,
        asio::buffer(unread),
        [](const boost::system::error_code&, std::size_t) {});
    upload.loop.run_for(500ms);
    BOOST_REQUIRE(upload.outcome.has_value());
    BOOST_TEST((upload.outcome->status == front::exchange_status::answered));
    BOOST_TEST(upload.outcome->answer.body == "part");
}

// MIXED: 000 counted as an interim answer, so that what followed it was taken
// for the answer; 600 and above were passed on.
BOOST_DATA_TEST_CASE(
    a_status_outside_of_100_to_599_is_no_answer,
    data::make({"000", "001", "099", "600", "999"}),
    status)
{
    answers_of_two_workers workers{fmt::format(
        "HTTP/1.1 {} Odd\r\nAttempt-Id: {{id}}\r\nSignature: s\r\n"
        "Content-Length: 0\r\n\r\n"
        "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfake",
        status)};
    const auto response =
        workers.front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
    BOOST_TEST(response.find("fake") == std::string::npos);
    BOOST_TEST(workers.seen == 1);
}

// MIXED: a line that begins with a blank was taken for more of the value
// before it (RFC 9112, section 5.2) and passed on.
BOOST_DATA_TEST_CASE(
    a_field_name_with_a_blank_or_control_byte_is_no_answer,
    data::make(
        {" Odd: x",
         "\tOdd: x",
         "O dd: x",
         "Odd : x",
         "Odd\t: x",
         "O\x01"
         "dd: x",
         "O\x7f"
         "dd: x",
         ": x",
         "Odd"}),
    line)
{
    answers_of_two_workers workers{fmt::format(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nSignature: s\r\n{}\r\n"
        "Content-Length: 4\r\n\r\nfake",
        line)};
    const auto response =
        workers.front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
    BOOST_TEST(response.find("fake") == std::string::npos);
    BOOST_TEST(workers.seen == 1);
}

// Two readers of such a head could disagree where the body ends (RFC 9112,
// section 6.3).
BOOST_DATA_TEST_CASE(
    a_length_that_is_given_in_two_ways_is_no_answer,
    data::make(
        {"Content-Length: 4\r\nContent-Length: 5",
         "Content-Length: 4, 5",
         "Content-Length: 4\r\nTransfer-Encoding: chunked",
         "Content-Length: +4",
         "Content-Length: -4"}),
    lines)
{
    answers_of_two_workers workers{fmt::format(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nSignature: s\r\n{}\r\n\r\n"
        "4\r\nfake\r\n0\r\n\r\n",
        lines)};
    const auto response =
        workers.front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
    BOOST_TEST(response.find("fake") == std::string::npos);
}

// What an answer without a body states as its body was taken for the next one.
BOOST_DATA_TEST_CASE(
    an_answer_that_has_no_body_states_none,
    data::make({"103 Early", "204 None"}) *
        data::make({"Content-Length: 59", "Transfer-Encoding: chunked"}),
    status,
    length)
{
    answers_of_two_workers workers{fmt::format(
        "HTTP/1.1 {}\r\nAttempt-Id: {{id}}\r\nSignature: s\r\n{}\r\n\r\n"
        "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfake",
        status,
        length)};
    const auto response =
        workers.front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
    BOOST_TEST(response.find("fake") == std::string::npos);
}

// An idempotent request is sent again, as after a lost answer.
BOOST_AUTO_TEST_CASE(an_idempotent_request_is_sent_again)
{
    answers_of_two_workers workers{
        "HTTP/1.1 000 Odd\r\nAttempt-Id: {id}\r\nSignature: s\r\n"
        "Content-Length: 0\r\n\r\n"};
    const auto response =
        workers.front.exchange(idempotent_request("1"), 300ms);
    BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
    BOOST_TEST(workers.seen == 2);
}

BOOST_AUTO_TEST_SUITE_END()
