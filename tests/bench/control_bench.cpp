// What a daemon spends on control alone, without a caller, as the number of
// daemons grows: processor time and memory, mean and worst of all daemons.
#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "harness/cluster.hpp"
#include "harness/process_figures.hpp"

namespace
{

using namespace waxwingvalve;

constexpr std::chrono::seconds settle_time{3};
constexpr std::chrono::seconds measured_time{15};

harness::layout spread_over_six_zones(int entries_each)
{
    auto out = harness::authority();
    for (auto& zone : out.zones)
    {
        zone.entries = entries_each;
    }
    return out;
}

struct spent
{
    double mean_percent{};
    double worst_percent{};
    std::uint64_t worst_kb{};
};

spent measure(harness::cluster& cluster)
{
    std::vector<double> before;
    for (const auto& entry : cluster.entries())
    {
        before.push_back(
            harness::processor_seconds(cluster.daemon(entry.name).id()));
    }
    std::this_thread::sleep_for(measured_time);
    spent out;
    const auto count = static_cast<double>(cluster.entries().size());
    for (std::size_t at = 0; at < cluster.entries().size(); ++at)
    {
        const int process = cluster.daemon(cluster.entries()[at].name).id();
        const double used = harness::processor_seconds(process) - before[at];
        const double percent =
            100 * used / static_cast<double>(measured_time.count());
        out.mean_percent += percent / count;
        out.worst_percent = std::max(out.worst_percent, percent);
        out.worst_kb =
            std::max(out.worst_kb, harness::memory_high_water_kb(process));
    }
    return out;
}

} // namespace

int main()
{
    fmt::print("daemons  core mean  core worst  memory worst\n");
    for (const int entries_each : {1, 2, 6, 14})
    {
        harness::cluster cluster{spread_over_six_zones(entries_each)};
        cluster.start_platform();
        cluster.start_upstreams();
        cluster.start_daemons();
        if (!cluster.accept_layout())
        {
            std::cerr << "the records did not come in force\n";
            return 1;
        }
        std::this_thread::sleep_for(settle_time);
        const auto figures = measure(cluster);
        fmt::print(
            "{:>7}  {:>8.3f}%  {:>9.3f}%  {:>9} KB\n",
            cluster.entries().size(),
            figures.mean_percent,
            figures.worst_percent,
            figures.worst_kb);
    }
}
