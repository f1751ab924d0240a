// Callers' connections: order of answers, requests that are refused by their
// bytes, callers that leave, and the end of a daemon.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>

#include "front/front_fixture.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

bool holds(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

script_step slow_good(std::chrono::milliseconds delay, std::string_view body)
{
    return {.answer = good_answer(body), .delay = delay};
}

struct bad_request
{
    std::string_view what;
    std::string_view bytes;
    std::string_view status;
};

std::ostream& operator<<(std::ostream& out, const bad_request& one)
{
    return out << one.what;
}

constexpr std::array bad_requests{
    bad_request{
        "two lengths",
        "POST /unsafe/1 HTTP/1.1\r\nHost: desk.example\r\n"
        "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
        "HTTP/1.1 400"},
    bad_request{
        "a length beside chunks",
        "POST /unsafe/1 HTTP/1.1\r\nHost: desk.example\r\n"
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 400"},
    bad_request{
        "an encoding that does not end the body",
        "POST /unsafe/1 HTTP/1.1\r\nHost: desk.example\r\n"
        "Transfer-Encoding: identity\r\n\r\n",
        "HTTP/1.1 400"},
    bad_request{"no HTTP", "HELLO\r\n\r\n", "HTTP/1.1 400"},
    bad_request{
        "an unknown path",
        "GET /none/1 HTTP/1.1\r\nHost: desk.example\r\n\r\n",
        "HTTP/1.1 404"},
    bad_request{
        "an unknown host",
        "GET /safe/1 HTTP/1.1\r\nHost: none.example\r\n\r\n",
        "HTTP/1.1 404"},
    bad_request{
        "a body over the limit",
        "POST /unsafe/1 HTTP/1.1\r\nHost: desk.example\r\n"
        "Content-Length: 999999\r\n\r\n",
        "HTTP/1.1 413"}};

} // namespace

BOOST_AUTO_TEST_SUITE(caller_connections)

BOOST_DATA_TEST_CASE(bad_bytes_are_refused_and_reach_no_worker, bad_requests)
{
    front_fixture front;
    auto& worker =
        front.add_worker("a", [](int) { return slow_good(0ms, "x"); });
    const auto got = front.exchange(sample.bytes, 150ms);
    BOOST_TEST(holds(got, sample.status));
    BOOST_TEST(worker.requests().empty());
}

BOOST_AUTO_TEST_CASE(a_head_over_the_limit_is_refused)
{
    front_fixture front;
    const auto got = front.exchange(
        lookup("1", "Long: " + std::string(8'000, 'x') + "\r\n"), 150ms);
    BOOST_TEST(holds(got, "HTTP/1.1 431"));
}

BOOST_AUTO_TEST_CASE(a_head_that_does_not_end_is_refused_as_not_run)
{
    front_fixture front;
    const auto got = front.exchange("GET /safe/1 HT", 3s);
    BOOST_TEST(holds(got, "HTTP/1.1 408"));
    BOOST_TEST(holds(got, "Connection: close"));
}

BOOST_AUTO_TEST_CASE(answers_come_in_the_order_of_their_requests)
{
    front_fixture front;
    front.add_worker(
        "a",
        [](int number) {
            return number == 1 ? slow_good(150ms, "first")
                               : slow_good(0ms, "second");
        });
    const auto got = front.exchange(lookup("1") + lookup("2"), 400ms);
    BOOST_REQUIRE(holds(got, "first"));
    BOOST_REQUIRE(holds(got, "second"));
    BOOST_TEST(got.find("first") < got.find("second"));
}

// A filing behind another request would be sent again if the connection
// ended at the first answer, so it must not run before that answer.
BOOST_AUTO_TEST_CASE(a_filing_waits_for_the_answers_before_it)
{
    front_fixture front;
    auto& worker =
        front.add_worker("a", [](int) { return slow_good(150ms, "done"); });
    front.send_and_leave(lookup("1") + filing("2"), 80ms);
    front.run_for(300ms);
    BOOST_TEST(worker.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_lookups_caller_that_leaves_ends_the_work)
{
    front_fixture front;
    auto& worker =
        front.add_worker("a", [](int) { return slow_good(2s, "late"); });
    front.send_and_leave(lookup("1"), 50ms);
    front.run_for(100ms);
    BOOST_TEST(worker.cut_short() == 1);
    BOOST_TEST(front.counts.callers_gone == 1U);
}

BOOST_AUTO_TEST_CASE(a_filing_runs_on_when_its_caller_leaves)
{
    front_fixture front;
    auto& worker =
        front.add_worker("a", [](int) { return slow_good(100ms, "done"); });
    front.send_and_leave(filing("1"), 50ms);
    front.run_for(200ms);
    BOOST_TEST(worker.cut_short() == 0);
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_and_passes_nothing_on)
{
    front_fixture front;
    auto& worker =
        front.add_worker("a", [](int) { return slow_good(0ms, "x"); });
    const auto begin = std::chrono::steady_clock::now();
    front.exchange(lookup("1"), 4s);
    const auto took = std::chrono::steady_clock::now() - begin;
    BOOST_TEST((took > 1200ms && took < 3s));
    BOOST_TEST(worker.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_asks_for_it_closes_the_connection)
{
    front_fixture front;
    front.add_worker("a", [](int) { return slow_good(0ms, "x"); });
    const auto got = front.exchange(lookup("1", "Connection: close\r\n"), 2s);
    BOOST_TEST(holds(got, "Connection: close"));
}

// A planned stop: what runs is answered, and the answer says that the
// connection ends.
BOOST_AUTO_TEST_CASE(a_stop_answers_what_runs)
{
    front_fixture front;
    front.add_worker("a", [](int) { return slow_good(200ms, "done"); });
    boost::asio::steady_timer stop{front.loop};
    stop.expires_after(50ms);
    stop.async_wait([&](const boost::system::error_code&)
                    { front.server->begin_shutdown(); });
    const auto got = front.exchange(filing("1"), 2s);
    BOOST_TEST(holds(got, "done"));
    BOOST_TEST(holds(got, "Connection: close"));
    BOOST_TEST(front.server->open_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(without_a_configuration_requests_are_refused_as_not_run)
{
    front_fixture front;
    front::fleet_view bare{{}, {}, {}, 1};
    front::serving_context serving{
        front.loop, front.serving.fields, bare, front.pool, front.counts};
    front::front_server server{serving};
    boost::asio::ip::tcp::acceptor probe{
        front.loop, {boost::asio::ip::address_v4::loopback(), 0}};
    front.address.port = probe.local_endpoint().port();
    probe.close();
    BOOST_REQUIRE(server.listen(front.address).has_value());
    const auto got = front.exchange(filing("1"), 150ms);
    BOOST_TEST(holds(got, "HTTP/1.1 503"));
    BOOST_TEST(holds(got, "Retry-After"));
}

BOOST_AUTO_TEST_SUITE_END()
