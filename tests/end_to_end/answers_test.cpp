// Whole answers, own answers, and what becomes of a request whose answer is
// late, crossed, lost or cut short.
#include <algorithm>
#include <string>
#include <thread>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "end_to_end/answers_fixture.hpp"

using namespace waxwingvalve;
using harness::answers_cluster;
using harness::caller_result;
using std::chrono::milliseconds;

namespace
{

bool own_or_refused(const caller_result& one)
{
    return one.status != 200 || one.answered_target == one.target;
}

std::ptrdiff_t runs_with_key(
    const answers_cluster& cluster, const std::string& key)
{
    const auto runs = cluster.runs();
    return std::ranges::count_if(
        runs,
        [&](const auto& run) { return run.at("key").as_string() == key; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(answers)

BOOST_AUTO_TEST_CASE(crossed_and_lost_answers_reach_no_caller)
{
    const answers_cluster cluster{1, 12, false};
    for (const std::string fault : {"cross_answers", "lose_answers"})
    {
        cluster.set_all_faults(fmt::format("{{\"{}\": 1}}", fault));
        const auto filed = cluster.file(cluster.first_entry(), fault + "-key");
        BOOST_TEST(filed.status == 502U);
        BOOST_TEST(filed.outcome == "unknown");
        BOOST_TEST(runs_with_key(cluster, fault + "-key") == 1);
        const auto got =
            cluster.drive({.name = fault, .callers = 4, .requests_each = 20});
        BOOST_TEST(std::ranges::all_of(got, own_or_refused));
        // With one fault for each worker the retries make up for it; the
        // reserve alone allows three.
        BOOST_TEST(
            std::ranges::count(got, 200U, &caller_result::status) >= 80 - 9);
        cluster.set_all_faults(fmt::format("{{\"{}\": 0}}", fault));
    }
}

BOOST_AUTO_TEST_CASE(late_answers_do_not_meet_the_next_request)
{
    const answers_cluster cluster{1, 1, false};
    cluster.set_all_faults(R"({"service_ms": 400})");
    const auto late =
        cluster.look_up(cluster.first_entry(), "/late", milliseconds{100});
    BOOST_TEST(late.status == 504U);
    BOOST_TEST(late.outcome == "unknown");
    cluster.set_all_faults(R"({"service_ms": 2})");
    const auto got =
        cluster.drive({.name = "next", .callers = 2, .requests_each = 50});
    BOOST_TEST(std::ranges::all_of(
        got,
        [](const auto& one) { return one.answered_target == one.target; }));
}

BOOST_AUTO_TEST_CASE(answers_cut_short_are_not_passed_on)
{
    const answers_cluster cluster{1, 2, true};
    cluster.set_faults(cluster.link_control(), R"({"cut_after_bytes": 60})");
    for (int number = 0; number < 5; ++number)
    {
        const auto got =
            cluster.look_up(cluster.first_entry(), "/cut", milliseconds{2000});
        BOOST_TEST(got.status == 502U);
        BOOST_TEST(got.outcome == "unknown");
    }
    const auto filed = cluster.file(cluster.first_entry(), "cut-key");
    BOOST_TEST(filed.outcome == "unknown");
    BOOST_TEST(runs_with_key(cluster, "cut-key") == 1);
}

BOOST_AUTO_TEST_CASE(the_deadline_is_passed_on_and_kept)
{
    const answers_cluster cluster{1, 2, false};
    const auto& entry = cluster.first_entry();
    const auto got = cluster.look_up(entry, "/seen", milliseconds{1500});
    BOOST_REQUIRE(got.status == 200U);
    const auto runs = cluster.runs();
    BOOST_REQUIRE(runs.size() == 1U);
    const std::string seen{runs.front().at("deadline_ms").as_string()};
    BOOST_TEST(std::stoi(seen) <= 1500);
    BOOST_TEST(std::stoi(seen) > 0);

    // No time at all, and less than any answer took of late.
    const auto none = cluster.look_up(entry, "/none", milliseconds{0});
    BOOST_TEST(none.code == "2010");
    BOOST_TEST(none.outcome == "not-run");
    cluster.set_all_faults(R"({"service_ms": 60})");
    cluster.drive({.name = "slow", .callers = 4, .requests_each = 40});
    const auto before = cluster.runs().size();
    const auto short_time = cluster.look_up(entry, "/short", milliseconds{30});
    BOOST_TEST(short_time.code == "2010");
    BOOST_TEST(short_time.outcome == "not-run");
    BOOST_TEST(cluster.runs().size() == before);
}

// An owner that takes a worker over counts on no request running longer.
BOOST_AUTO_TEST_CASE(more_time_than_the_operation_has_is_cut_to_it)
{
    const answers_cluster cluster{1, 2, false};
    const auto& entry = cluster.first_entry();
    const auto far = cluster.call(
        entry,
        {.method = "GET",
         .target = "/far",
         .fields = {
             {"Waxwing-Service", "lacquer-catalogue"},
             {"Waxwing-Deadline-Ms", "9000000000000000"}}});
    BOOST_REQUIRE(far.has_value());
    BOOST_REQUIRE(far.value().status == 200U);
    const auto later = cluster.runs();
    const std::string told{later.back().at("deadline_ms").as_string()};
    BOOST_TEST(std::stoll(told) <= 2000);
}

BOOST_AUTO_TEST_CASE(a_caller_that_hangs_up_frees_its_slots)
{
    const answers_cluster cluster{1, 2, false};
    // A new worker gets all of its slots only after some answers.
    cluster.drive({.name = "warm", .callers = 8, .requests_each = 50});
    cluster.set_all_faults(R"({"service_ms": 8000})");
    constexpr std::size_t slots = 8;
    std::vector<std::thread> callers;
    callers.reserve(slots);
    for (std::size_t number = 0; number < slots; ++number)
    {
        callers.emplace_back(
            [&]
            {
                // The connection closes when the call's own time is over.
                static_cast<void>(cluster.call(
                    cluster.first_entry(),
                    {.method = "GET",
                     .target = "/gone",
                     .fields =
                         {{"Waxwing-Service", "lacquer-catalogue"},
                          {"Waxwing-Deadline-Ms", "20000"}}},
                    milliseconds{500}));
            });
    }
    BOOST_TEST(
        harness::wait_until([&] { return cluster.sum("running") == 8; }));
    for (auto& caller : callers)
    {
        caller.join();
    }
    BOOST_TEST(harness::wait_until(
        [&] { return cluster.sum("running") == 0; }, milliseconds{3000}));
    cluster.set_all_faults(R"({"service_ms": 2})");
    const auto got =
        cluster.look_up(cluster.first_entry(), "/after", milliseconds{2000});
    BOOST_TEST(got.status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
