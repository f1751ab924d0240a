// How many filings are served while the platform is down, against before.
// WAXWINGVALVE_OUTAGE_S sets the length of each half; the figure that the
// design note gives is of 60 s.
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <future>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "end_to_end/filing_scene.hpp"

using namespace waxwingvalve;
using end_to_end::filing_scene;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr seconds short_half{3};
constexpr milliseconds pause_between{50};

seconds half_length()
{
    const auto* text = std::getenv("WAXWINGVALVE_OUTAGE_S");
    return text != nullptr ? seconds{std::atoi(text)} : short_half;
}

struct tally
{
    int sent{};
    int served{};
};

// One caller at each entry, each filing with a new prefixed key.
tally file_for(filing_scene& scene, seconds length)
{
    const auto end = base::monotonic_clock::now() + length;
    std::vector<std::future<tally>> callers;
    for (const auto& entry : scene.cluster.entries())
    {
        callers.push_back(std::async(
            std::launch::async,
            [&]
            {
                tally out;
                while (base::monotonic_clock::now() < end)
                {
                    const auto key = scene.new_key(entry);
                    ++out.sent;
                    out.served += scene.file(entry, key).status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(pause_between);
                }
                return out;
            }));
    }
    tally sum;
    for (auto& one : callers)
    {
        const auto got = one.get();
        sum.sent += got.sent;
        sum.served += got.served;
    }
    return sum;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(filings_in_an_outage, filing_scene)

BOOST_AUTO_TEST_CASE(prefixed_keys_are_served_as_before)
{
    const auto length = half_length();
    // Entries that have just started still settle who owns which worker; the
    // figure is that of a deployment which serves.
    BOOST_REQUIRE(harness::wait_until(
        [&]
        {
            return std::ranges::all_of(
                cluster.entries(),
                [&](const harness::entry_vm& entry)
                { return file(entry, new_key(entry)).status == 200; });
        }));
    const auto before = file_for(*this, length);
    cluster.set_faults(cluster.platform(), R"({"outage":true})");
    const auto during = file_for(*this, length);
    std::cout << "before: " << before.served << " of " << before.sent
              << " filings served, during: " << during.served << " of "
              << during.sent << '\n';
    BOOST_TEST(before.sent > 0);
    BOOST_TEST(before.served == before.sent);
    BOOST_TEST(during.sent > 0);
    BOOST_TEST(during.served == during.sent);
    BOOST_TEST(history_holds());
}

BOOST_AUTO_TEST_SUITE_END()
