// Time from an accept to in force in all daemons, and the store's reads and
// writes a second while idle and while records change. Run by hand.
#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "harness/cluster.hpp"

namespace
{

using namespace waxwingvalve;

constexpr std::uint64_t changes = 40;
constexpr std::chrono::seconds idle_time{10};

std::string zones(std::uint64_t delay_us)
{
    return fmt::format(
        R"({{"kind": "deployment", "schema_version": 1, "name": "authority",
        "regions": [], "zone_delay_us": {}}})",
        delay_us);
}

struct store_calls
{
    std::int64_t reads{};
    std::int64_t writes{};
};

store_calls calls_so_far(const harness::cluster& cluster)
{
    const auto told = cluster.get_json(cluster.platform(), "/control");
    return {
        told.at("reads").to_number<std::int64_t>(),
        told.at("writes").to_number<std::int64_t>()};
}

void print_rates(
    std::string_view phase,
    const store_calls& before,
    const store_calls& after,
    double seconds)
{
    fmt::print(
        "{}: {:.1f} reads/s, {:.1f} writes/s over {:.1f} s\n",
        phase,
        static_cast<double>(after.reads - before.reads) / seconds,
        static_cast<double>(after.writes - before.writes) / seconds,
        seconds);
}

double seconds_since(base::instant start)
{
    return std::chrono::duration<double>(base::monotonic_clock::now() - start)
        .count();
}

// Accepts one change after another; returns the sorted times.
std::vector<double> measure_changes(harness::cluster& cluster)
{
    std::vector<double> out;
    for (std::uint64_t change = 1; change <= changes; ++change)
    {
        const auto revision = cluster.accept_record(zones(change));
        const auto accepted = base::monotonic_clock::now();
        if (revision == 0 || !cluster.wait_for_revision(revision))
        {
            fmt::print("change {} failed\n", change);
            continue;
        }
        out.push_back(seconds_since(accepted));
    }
    std::ranges::sort(out);
    return out;
}

} // namespace

int main()
{
    harness::cluster cluster{harness::authority()};
    cluster.start_platform();
    cluster.start_daemons();
    auto before = calls_so_far(cluster);
    auto start = base::monotonic_clock::now();
    std::this_thread::sleep_for(idle_time);
    print_rates("idle", before, calls_so_far(cluster), seconds_since(start));

    before = calls_so_far(cluster);
    start = base::monotonic_clock::now();
    const auto times = measure_changes(cluster);
    print_rates(
        "changing", before, calls_so_far(cluster), seconds_since(start));
    if (!times.empty())
    {
        fmt::print(
            "accept to in force in all {} daemons, {} changes: p50 {:.0f} ms, "
            "worst {:.0f} ms\n",
            cluster.entries().size(),
            times.size(),
            times[times.size() / 2] * 1000,
            times.back() * 1000);
    }
}
