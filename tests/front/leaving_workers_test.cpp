// Tests of what workers say of themselves with their answers: that they leave,
// and that they want nothing for some time.
#include <boost/test/unit_test.hpp>

#include <string>

#include "front/front_fixture.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

scripted_reply reply_success(int)
{
    return {.answer = success_answer("whole")};
}

scripted_reply reply_leaving(int)
{
    return {
        .answer = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nSignature: s\r\n"
                  "Leaving: 1\r\nContent-Length: 4\r\n\r\nlast"};
}

scripted_reply refuse_for(std::string_view time)
{
    return {
        .answer = "HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\nNot-Run: 1\r\n"
                  "Retry-After: " +
                  std::string{time} + "\r\nContent-Length: 0\r\n\r\n"};
}

double retry_after_of(const std::string& response)
{
    const std::string name{"Retry-After: "};
    const auto at = response.find(name);
    return at == std::string::npos
               ? 0.0
               : std::stod(response.substr(at + name.size()));
}

void send_many(front_fixture& front, int count, std::string_view prefix)
{
    for (int i = 0; i < count; ++i)
    {
        front.exchange(
            idempotent_request(std::string{prefix} + std::to_string(i)), 30ms);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(leaving_workers)

// DRAIN: requests after an answer that says that its worker leaves do not reach
// that worker from the daemon that passed it on.
BOOST_AUTO_TEST_CASE(a_worker_that_says_it_leaves_gets_no_further_request)
{
    front_fixture front;
    auto& leaving = front.add_worker("a", reply_leaving);
    auto& staying = front.add_worker("b", reply_success);
    send_many(front, 20, "r");
    BOOST_TEST(leaving.requests().size() == 1U);
    BOOST_TEST(staying.requests().size() == 19U);
}

BOOST_AUTO_TEST_CASE(a_refusal_says_so_too)
{
    front_fixture front;
    auto& leaving = front.add_worker(
        "a",
        [](int)
        {
            return scripted_reply{
                .answer = "HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\n"
                          "Not-Run: 1\r\nLeaving: 1\r\n"
                          "Content-Length: 0\r\n\r\n"};
        });
    front.add_worker("b", reply_success);
    send_many(front, 20, "r");
    BOOST_TEST(leaving.requests().size() == 1U);
}

// Its entry may be read again, or lapse and come back.
BOOST_AUTO_TEST_CASE(its_entry_does_not_bring_it_back)
{
    front_fixture front;
    auto& leaving = front.add_worker("a", reply_leaving);
    front.exchange(idempotent_request("1"), 50ms);
    BOOST_REQUIRE(leaving.requests().size() == 1U);
    const auto now = base::monotonic_clock::now();
    auto entry = front.view.workers().find("a")->entry();
    entry.draining = false;
    front.view.put_worker(entry, now);
    front.view.remove_worker("a", now);
    front.view.put_worker(entry, now);
    const auto refused = front.exchange(idempotent_request("2"), 50ms);
    BOOST_TEST(contains(refused, "HTTP/1.1 503"));
    BOOST_TEST(leaving.requests().size() == 1U);

    entry.started_at_ms = 17;
    front.view.put_worker(entry, now);
    front.exchange(idempotent_request("3"), 50ms);
    BOOST_TEST(leaving.requests().size() == 2U);
}

// BUDGET: a worker that refuses with Retry-After gets nothing for so long.
BOOST_AUTO_TEST_CASE(a_worker_is_left_alone_for_the_time_that_it_names)
{
    front_fixture front;
    auto& busy = front.add_worker(
        "a",
        [](int number)
        { return number == 1 ? refuse_for("0.8") : reply_success(number); });
    front.add_worker("b", reply_success);
    send_many(front, 15, "r");
    BOOST_TEST(busy.requests().size() == 1U);
    front.run_for(900ms);
    send_many(front, 15, "s");
    BOOST_TEST(busy.requests().size() > 1U);
}

// Callers are refused at once, and told when a worker takes requests again.
BOOST_AUTO_TEST_CASE(callers_are_told_when_all_workers_want_nothing)
{
    front_fixture front;
    auto& a = front.add_worker("a", [](int) { return refuse_for("4"); });
    auto& b = front.add_worker("b", [](int) { return refuse_for("3"); });
    const auto first = front.exchange(idempotent_request("1"), 100ms);
    BOOST_TEST(contains(first, "HTTP/1.1 503"));
    for (int i = 0; i < 10; ++i)
    {
        const auto refused = front.exchange(
            non_idempotent_request("n" + std::to_string(i)), 100ms);
        BOOST_TEST(contains(refused, "HTTP/1.1 503"));
        BOOST_TEST(retry_after_of(refused) > 1.5);
        BOOST_TEST(retry_after_of(refused) < 5.0);
    }
    BOOST_TEST(a.requests().size() == 1U);
    BOOST_TEST(b.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_field_that_says_nothing_changes_nothing)
{
    for (const auto* text : {"0", "-3", "soon"})
    {
        BOOST_TEST_CONTEXT(text)
        {
            front_fixture front;
            auto& worker =
                front.add_worker("a", [&](int) { return refuse_for(text); });
            send_many(front, 3, "r");
            BOOST_TEST(worker.requests().size() == 3U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
