// What daemons of the users' platform cost a request, in turns: front_bench
// PROGRAM... Each program serves the same callers and workers, with small
// answers and with large ones. Prints requests a second of the daemon's
// processor time and its peak memory.
#define BOOST_TEST_MODULE front_bench
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

#include <fmt/format.h>

#include "harness/process_figures.hpp"
#include "platform/memory_scene.hpp"

using namespace waxwingvalve::tests;
using namespace waxwingvalve::harness;

namespace
{

constexpr int turns = 3;
constexpr int callers = 32;
constexpr std::chrono::seconds turn_time{4};
constexpr std::size_t small_body_bytes = 3'000;
constexpr std::size_t large_body_bytes = 300'000;

void measure(const std::string& program, std::size_t body_bytes)
{
    memory_scene scene{
        {.body_bytes = body_bytes,
         .limit = limited_by::kernel,
         .program = program}};
    const auto process = scene.daemon().id();
    const auto before = processor_seconds(process);
    scene.play(turn_time, {.small = callers});
    const auto used = processor_seconds(process) - before;
    fmt::print(
        "{} answers of {} bytes: {} requests, {:.0f} a second of its "
        "processor time, peak {} KB\n",
        program,
        body_bytes,
        scene.requests().size(),
        static_cast<double>(scene.requests().size()) / used,
        memory_high_water_kb(process));
}

} // namespace

BOOST_AUTO_TEST_CASE(programs_in_turns)
{
    const auto& suite = boost::unit_test::framework::master_test_suite();
    for (const auto body_bytes : {small_body_bytes, large_body_bytes})
    {
        for (int turn = 0; turn < turns; ++turn)
        {
            for (int i = 1; i < suite.argc; ++i)
            {
                measure(suite.argv[i], body_bytes);
            }
        }
    }
}
