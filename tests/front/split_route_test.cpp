// Tests requests of a route that is split between services.
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include "front/front_fixture.hpp"

using namespace waxwingvalve::tests;
using namespace std::chrono_literals;

namespace
{

std::string split_request(int id)
{
    return fmt::format(
        "GET /split/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\n"
        "Deadline: 5000\r\n\r\n",
        id);
}

} // namespace

BOOST_AUTO_TEST_SUITE(split_routes)

// The part's requests are refused at once; the other part gets no more than
// its weight.
BOOST_AUTO_TEST_CASE(a_part_without_workers_moves_nothing_to_the_other)
{
    front_fixture front;
    auto& worker = front.add_worker(
        "a", [](int) { return scripted_reply{.answer = success_answer("x")}; });
    constexpr int requests = 10;
    int refused = 0;
    for (int id = 0; id < requests; ++id)
    {
        const auto response = front.exchange(split_request(id), 50ms);
        refused += response.starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    BOOST_TEST(refused == requests / 2);
    BOOST_TEST(worker.requests().size() == requests / 2);
}

BOOST_AUTO_TEST_SUITE_END()
