// Tests of retries, forwarding and refusals for the ways in which a worker can
// answer or fail a request.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "front/front_fixture.hpp"

using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

const scripted_reply close_without_answer{.close = true};
const scripted_reply shed_reply{
    .answer = "HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\nNot-Run: 1\r\n"
              "Content-Length: 0\r\n\r\n"};

scripted_reply reply_success(int)
{
    return {.answer = success_answer("whole")};
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::size_t total_requests(const scripted_worker& a, const scripted_worker& b)
{
    return a.requests().size() + b.requests().size();
}

// Two workers. Whichever gets the first request replies to it as given; all
// later requests succeed.
struct two_worker_fixture
{
    explicit two_worker_fixture(const scripted_reply& first)
    {
        const auto next_reply = [this, first](int)
        {
            ++seen;
            return seen == 1 ? first : reply_success(1);
        };
        a = &front.add_worker("a", next_reply);
        b = &front.add_worker("b", next_reply);
    }

    front_fixture front;
    scripted_worker* a{};
    scripted_worker* b{};
    int seen{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(worker_answers)

BOOST_AUTO_TEST_CASE(complete_answer_is_forwarded)
{
    front_fixture front;
    auto& worker = front.add_worker("a", reply_success);
    const auto response = front.exchange(idempotent_request("1"), 200ms);
    BOOST_TEST(contains(response, "HTTP/1.1 200"));
    BOOST_TEST(contains(response, "Signature: s"));
    BOOST_TEST(contains(response, "whole"));
    BOOST_REQUIRE(worker.requests().size() == 1);
    BOOST_TEST(contains(worker.requests()[0], "GET /safe/1 HTTP/1.1"));
    BOOST_TEST(contains(worker.requests()[0], "Target: a"));
    // The deadline is the route's timeout, which is shorter than the caller's.
    BOOST_TEST(!contains(worker.requests()[0], "Deadline: 5000"));
}

BOOST_AUTO_TEST_CASE(idempotent_request_is_retried_after_a_lost_answer)
{
    two_worker_fixture fixture{close_without_answer};
    const auto response =
        fixture.front.exchange(idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 200"));
    BOOST_TEST(total_requests(*fixture.a, *fixture.b) == 2U);
}

BOOST_AUTO_TEST_CASE(non_idempotent_request_is_not_retried_after_a_lost_answer)
{
    two_worker_fixture fixture{close_without_answer};
    const auto response =
        fixture.front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
    BOOST_TEST(contains(response, "Waxwing-Outcome: unknown"));
    BOOST_TEST(!contains(response, "Retry-After"));
    BOOST_TEST(total_requests(*fixture.a, *fixture.b) == 1U);
}

BOOST_AUTO_TEST_CASE(
    non_idempotent_request_is_retried_when_the_worker_did_not_run_it)
{
    two_worker_fixture fixture{shed_reply};
    const auto response =
        fixture.front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 200"));
    BOOST_TEST(total_requests(*fixture.a, *fixture.b) == 2U);
}

BOOST_AUTO_TEST_CASE(shed_request_is_refused_with_retry_after)
{
    front_fixture front;
    front.add_worker("a", [](int) { return shed_reply; });
    const auto response = front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 503"));
    BOOST_TEST(contains(response, "Waxwing-Outcome: not-run"));
    BOOST_TEST(contains(response, "Retry-After: 0."));
}

BOOST_AUTO_TEST_CASE(attempts_are_limited_by_the_route)
{
    front_fixture front;
    std::vector<scripted_worker*> workers;
    for (const auto* id : {"a", "b", "c", "d"})
    {
        workers.push_back(
            &front.add_worker(id, [](int) { return close_without_answer; }));
    }
    const auto response = front.exchange(idempotent_request("1"), 300ms);
    std::size_t sum = 0;
    for (const auto* worker : workers)
    {
        sum += worker->requests().size();
    }
    BOOST_TEST(sum == 2U);
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
}

// Guards against a caller that is told by the status that its request has not
// run, though the worker says no such thing and has run it.
BOOST_DATA_TEST_CASE(
    a_refusal_that_does_not_say_not_run_promises_nothing,
    boost::unit_test::data::make({408, 429, 503}),
    status)
{
    two_worker_fixture fixture{
        {.answer =
             "HTTP/1.1 " + std::to_string(status) +
             " Busy\r\nAttempt-Id: {id}\r\nContent-Length: 4\r\n\r\nbusy"}};
    const auto response =
        fixture.front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
    BOOST_TEST(contains(response, "3010"));
    BOOST_TEST(contains(response, "Waxwing-Outcome: unknown"));
    BOOST_TEST(total_requests(*fixture.a, *fixture.b) == 1U);
}

BOOST_AUTO_TEST_CASE(after_such_a_refusal_an_idempotent_request_is_retried)
{
    two_worker_fixture fixture{
        {.answer = "HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\n"
                   "Content-Length: 0\r\n\r\n"}};
    const auto response =
        fixture.front.exchange(idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 200"));
    BOOST_TEST(total_requests(*fixture.a, *fixture.b) == 2U);
}

BOOST_AUTO_TEST_CASE(truncated_answer_is_not_forwarded)
{
    two_worker_fixture fixture{
        {.answer = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nSignature: s\r\n"
                   "Content-Length: 50\r\n\r\nhalf",
         .close = true}};
    const auto response =
        fixture.front.exchange(idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "whole"));
    BOOST_TEST(!contains(response, "half"));
}

BOOST_AUTO_TEST_CASE(truncated_answer_to_non_idempotent_request_is_refused)
{
    two_worker_fixture fixture{
        {.answer = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nSignature: s\r\n"
                   "Content-Length: 50\r\n\r\nhalf",
         .close = true}};
    const auto response =
        fixture.front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
    BOOST_TEST(!contains(response, "half"));
}

BOOST_AUTO_TEST_CASE(malformed_answer_is_not_forwarded)
{
    two_worker_fixture fixture{
        {.answer = "\x01\x02 nonsense\r\n\r\n", .close = true}};
    const auto response =
        fixture.front.exchange(idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "whole"));
    BOOST_TEST(!contains(response, "nonsense"));
}

BOOST_AUTO_TEST_CASE(success_without_signature_is_not_forwarded)
{
    two_worker_fixture fixture{
        {.answer = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n"
                   "Content-Length: 4\r\n\r\nfake"}};
    const auto response =
        fixture.front.exchange(idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "whole"));
    BOOST_TEST(!contains(response, "fake"));
}

BOOST_AUTO_TEST_CASE(answer_to_another_request_is_discarded)
{
    front_fixture front;
    front.add_worker(
        "a",
        [](int)
        {
            return scripted_reply{
                .answer = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
                          "Signature: s\r\nContent-Length: 5\r\n\r\nother" +
                          success_answer("own")};
        });
    const auto response = front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "own"));
    BOOST_TEST(!contains(response, "other"));
}

// Guards against a refusal of an earlier request that a faulty worker writes
// once more, without its id, where the next answer is due: taken for that
// answer, it made a request run at a second worker while the first one ran it.
BOOST_AUTO_TEST_CASE(refusal_without_id_is_no_answer_of_a_worker_that_sends_ids)
{
    front_fixture front;
    const auto next_reply = [](int number)
    {
        return number == 1 ? reply_success(number)
                           : scripted_reply{
                                 .answer = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
                                           "Content-Length: 0\r\n\r\n" +
                                           success_answer("own")};
    };
    auto& faulty = front.add_worker("a", next_reply);
    auto& sound = front.add_worker("b", reply_success);
    std::size_t sent = 0;
    // Until the faulty worker has a connection that has carried a request.
    while (faulty.requests().empty() && sent < 50)
    {
        front.exchange(idempotent_request(std::to_string(++sent)), 50ms);
    }
    std::string response;
    while (faulty.requests().size() == 1U && sent < 100)
    {
        response = front.exchange(
            non_idempotent_request(std::to_string(++sent)), 50ms);
    }
    BOOST_TEST(faulty.requests().size() == 2U);
    BOOST_TEST(contains(response, "HTTP/1.1 200"));
    BOOST_TEST(contains(response, "own"));
    BOOST_TEST(total_requests(faulty, sound) == sent);
}

// The same from a worker that never sends ids: its refusal may be an earlier
// one, and proves nothing.
BOOST_AUTO_TEST_CASE(refusal_without_id_proves_nothing_on_a_used_connection)
{
    front_fixture front;
    const auto next_reply = [](int number)
    {
        return scripted_reply{
            .answer = number == 1 ? "HTTP/1.1 200 OK\r\nSignature: s\r\n"
                                    "Content-Length: 1\r\n\r\nx"
                                  : "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
                                    "Content-Length: 0\r\n\r\n"};
    };
    auto& worker = front.add_worker("a", next_reply);
    const auto first = front.exchange(idempotent_request("1"), 100ms);
    BOOST_TEST(contains(first, "HTTP/1.1 200"));
    const auto response = front.exchange(non_idempotent_request("2"), 300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
    BOOST_TEST(contains(response, "Waxwing-Outcome: unknown"));
    BOOST_TEST(worker.requests().size() == 2U);
}

// On a connection of its own there is no earlier request.
BOOST_AUTO_TEST_CASE(refusal_without_id_is_believed_on_a_new_connection)
{
    two_worker_fixture fixture{
        {.answer = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
                   "Content-Length: 0\r\n\r\n"}};
    const auto response =
        fixture.front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 200"));
    BOOST_TEST(total_requests(*fixture.a, *fixture.b) == 2U);
}

// A connection that delivers a second, unsolicited answer must not be reused:
// the next request would get that answer.
BOOST_AUTO_TEST_CASE(unsolicited_answer_is_discarded)
{
    front_fixture front;
    front.add_worker(
        "a",
        [](int number)
        {
            const auto body = "answer-" + std::to_string(number);
            return scripted_reply{
                .answer = success_answer(body) + success_answer("extra")};
        });
    const auto first = front.exchange(idempotent_request("1"), 100ms);
    const auto second = front.exchange(idempotent_request("2"), 100ms);
    BOOST_TEST(contains(first, "answer-1"));
    BOOST_TEST(contains(second, "answer-2"));
    BOOST_TEST(!contains(first + second, "extra"));
}

BOOST_AUTO_TEST_CASE(answer_without_length_ends_at_connection_close)
{
    front_fixture front;
    front.add_worker(
        "a",
        [](int)
        {
            return scripted_reply{
                .answer = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n"
                          "Signature: s\r\n\r\nuntil the end",
                .close = true};
        });
    const auto response = front.exchange(idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "until the end"));
    BOOST_TEST(contains(response, "Content-Length: 13"));
}

BOOST_AUTO_TEST_CASE(answer_without_length_is_incomplete_after_reset)
{
    front_fixture front;
    front.add_worker(
        "a",
        [](int)
        {
            return scripted_reply{
                .answer = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n"
                          "Signature: s\r\n\r\nuntil",
                .reset = true};
        });
    const auto response = front.exchange(non_idempotent_request("1"), 300ms);
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
}

BOOST_AUTO_TEST_CASE(request_times_out_at_the_route_timeout)
{
    front_fixture front;
    auto& worker =
        front.add_worker("a", [](int) { return scripted_reply{.delay = 5s}; });
    const auto begin = std::chrono::steady_clock::now();
    const auto response =
        front.exchange(idempotent_request("1", "Connection: close\r\n"), 3s);
    const auto took = std::chrono::steady_clock::now() - begin;
    BOOST_TEST(contains(response, "HTTP/1.1 504"));
    BOOST_TEST((took >= 790ms && took < 1300ms));
    front.run_for(50ms);
    BOOST_TEST(worker.interrupted_requests() == 1);
}

BOOST_AUTO_TEST_CASE(unreachable_worker_loses_no_request)
{
    front_fixture front;
    auto& crashing = front.add_worker(
        "a", [](int) { return scripted_reply{.crash = true}; });
    auto& healthy = front.add_worker("b", reply_success);
    // The first request may crash worker a; later ones must not fail because
    // its address refuses connections.
    for (int i = 0; i < 6; ++i)
    {
        front.exchange(idempotent_request(std::to_string(i)), 100ms);
    }
    const auto response = front.exchange(non_idempotent_request("7"), 200ms);
    BOOST_TEST(contains(response, "HTTP/1.1 200"));
    BOOST_TEST(crashing.requests().size() <= 1U);
    BOOST_TEST(healthy.requests().size() >= 6U);
}

// A request that crashes every worker that runs it must not be retried across
// the whole fleet.
BOOST_AUTO_TEST_CASE(request_that_crashes_workers_is_eventually_refused)
{
    front_fixture front;
    std::vector<scripted_worker*> workers;
    workers.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        workers.push_back(&front.add_worker(
            "w" + std::to_string(i),
            [](int) { return scripted_reply{.crash = true}; }));
    }
    for (int i = 0; i < 6; ++i)
    {
        front.exchange(idempotent_request(std::to_string(i)), 150ms);
    }
    std::size_t sum = 0;
    for (const auto* worker : workers)
    {
        sum += worker->requests().size();
    }
    // A request is refused after three crashes; the third may be followed by
    // one retry.
    BOOST_TEST(sum <= 4U);
    const auto response = front.exchange(idempotent_request("last"), 150ms);
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
}

BOOST_AUTO_TEST_SUITE_END()
