// Tests that callers of an account get its quota, and no more, over sockets.
#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>
#include <vector>

#include "front/fleet_fixture.hpp"
#include "front/front_fixture.hpp"

using namespace waxwingvalve;
using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view key_field =
    "Authorization: Bearer secret\r\nConnection: close\r\n";

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

// One daemon, alone in its fleet, whose account has a few tokens and earns next
// to none.
struct small_quota
{
    explicit small_quota(bool settled = true)
    {
        if (settled)
        {
            front.view.members.next_round(base::monotonic_clock::now() - 10s);
        }
        auto next = front.view.configuration();
        ++next.version;
        next.accounts = {
            {.name = "a",
             .keys = {"secret"},
             .requests_per_s = 0.1,
             .burst = 1}};
        front.view.adopt(std::move(next));
    }

    std::string exchange(std::string_view request)
    {
        return front.exchange(request, 500ms);
    }

    front_fixture front;
};

} // namespace

BOOST_AUTO_TEST_SUITE(account_quotas)

BOOST_AUTO_TEST_CASE(beyond_the_quota_callers_are_told_when_to_return)
{
    small_quota scene;
    auto& worker = scene.front.add_worker(
        "w", [](int) { return scripted_reply{.answer = success_answer("x")}; });
    std::string response;
    for (int i = 0; i < 40; ++i)
    {
        response =
            scene.exchange(idempotent_request(std::to_string(i), key_field));
    }
    BOOST_TEST(response.starts_with("HTTP/1.1 429"), response);
    BOOST_TEST(contains(response, "4010"));
    BOOST_TEST(contains(response, "not-run"));
    BOOST_TEST(contains(response, "Retry-After: "));
    BOOST_TEST(worker.requests().size() >= 1U);
    BOOST_TEST(worker.requests().size() < 40U);
    BOOST_TEST(
        scene.front.counts.quota_exceeded + worker.requests().size() == 40U);
}

// A worker that refuses what it was sent used up the quota of its callers.
BOOST_AUTO_TEST_CASE(what_a_worker_refused_unrun_is_given_back)
{
    small_quota scene;
    bool full = true;
    scene.front.add_worker(
        "w",
        [&full](int)
        {
            return full ? scripted_reply{
                              .answer =
                                  "HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\n"
                                  "Not-Run: 1\r\nWorker-Load: 4,0,4\r\n"
                                  "Content-Length: 0\r\n\r\n"}
                        : scripted_reply{.answer = success_answer("x")};
        });
    for (int i = 0; i < 40; ++i)
    {
        const auto response = scene.exchange(
            non_idempotent_request(std::to_string(i), key_field));
        BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    }
    full = false;
    const auto response =
        scene.exchange(non_idempotent_request("last", key_field));
    BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
}

// A refusal without an id on a kept connection may be the answer to an earlier
// request. Requests were sent again and again with the token of the first send.
BOOST_AUTO_TEST_CASE(an_ambiguous_refusal_spends_the_token)
{
    small_quota scene;
    auto& worker = scene.front.add_worker(
        "w",
        [](int number)
        {
            return scripted_reply{
                .answer = number == 0 ? "HTTP/1.1 200 OK\r\nSignature: s\r\n"
                                        "Content-Length: 1\r\n\r\nx"
                                      : "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
                                        "Content-Length: 0\r\n\r\n"};
        });
    for (int i = 0; i < 40; ++i)
    {
        scene.exchange(idempotent_request(std::to_string(i), key_field));
    }
    const decision::quotas::quota_terms terms;
    constexpr double quota = 1.5;
    BOOST_TEST(
        static_cast<double>(worker.requests().size()) <=
        quota * (1 + terms.overshoot) + terms.slack);
}

// Callers that leave while they wait, or are refused for want of a worker.
BOOST_AUTO_TEST_CASE(requests_that_reach_no_worker_take_no_token)
{
    small_quota scene;
    for (int i = 0; i < 40; ++i)
    {
        const auto response =
            scene.exchange(idempotent_request(std::to_string(i), key_field));
        BOOST_TEST(contains(response, "4002"), response);
    }
}

BOOST_AUTO_TEST_CASE(without_an_owner_requests_do_not_wait_for_their_deadline)
{
    small_quota scene{false};
    scene.front.add_worker(
        "w", [](int) { return scripted_reply{.answer = success_answer("x")}; });
    const auto begin = base::monotonic_clock::now();
    const auto response = scene.exchange(idempotent_request("1", key_field));
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    BOOST_TEST(contains(response, "4011"));
    BOOST_TEST((base::monotonic_clock::now() - begin < 450ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(fleet_quotas)

// QUOTA: each of five daemons gets the whole quota's requests and more.
BOOST_AUTO_TEST_CASE(a_flood_at_five_daemons_stays_within_the_quota)
{
    constexpr double rate = 40;
    constexpr std::size_t daemons = 5;
    constexpr auto length = 12s;
    fleet_fixture fleet{daemons};
    std::vector<base::instant> sent;
    for (const auto* id : {"w1", "w2", "w3", "w4", "w5", "w6"})
    {
        fleet.add_worker(
            id,
            [&](int)
            {
                sent.push_back(base::monotonic_clock::now());
                return scripted_reply{.answer = success_answer("x")};
            });
    }
    fleet.set_account(
        {.name = "a",
         .keys = {"secret"},
         .requests_per_s = rate,
         .burst = rate});
    fleet.run_for(5s);
    fleet.start_callers(15ms, caller_phase::spread);
    fleet.run_for(length);
    fleet.finish_callers(2s);

    const decision::quotas::quota_terms terms;
    const std::chrono::duration<double> window{terms.window};
    const double bound =
        (rate * window.count() + rate) * (1 + terms.overshoot) + terms.slack;
    std::size_t first = 0;
    for (std::size_t i = 0; i < sent.size(); ++i)
    {
        while (sent[first] + terms.window < sent[i])
        {
            ++first;
        }
        BOOST_REQUIRE(static_cast<double>(i - first + 1) <= bound);
    }
    // What the quota allows is served.
    const std::chrono::duration<double> seconds{length};
    BOOST_TEST(
        static_cast<double>(sent.size()) >= 0.8 * rate * seconds.count());
}

BOOST_AUTO_TEST_SUITE_END()
