// The fault soak: soak FIRST_SEED COUNT SECONDS FOLDER [OTHER_DAEMON]. Each
// seed is a series of faults that overlap; the exit status is the number of
// seeds that broke a promise. Logs of the daemons stay in FOLDER/seed-N. Every
// second daemon is the program OTHER_DAEMON, of another build, when it is
// given.
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <string>

#include <fmt/format.h>

#include "soak/soak_run.hpp"

using waxwingvalve::soak::soak_run;

int main(int count, char** words)
{
    if (count != 5 && count != 6)
    {
        fmt::print(
            stderr,
            "usage: soak FIRST_SEED COUNT SECONDS FOLDER [OTHER_DAEMON]\n");
        return 2;
    }
    const std::filesystem::path other_daemon{
        count == 6 ? words[5] : WAXWINGVALVE_PLATFORM_DAEMON};
    const auto first = std::stoull(words[1]);
    const auto seeds = std::stoull(words[2]);
    const std::chrono::seconds length{std::stol(words[3])};
    int failed = 0;
    for (auto seed = first; seed < first + seeds; ++seed)
    {
        const auto folder =
            std::filesystem::path{words[4]} / fmt::format("seed-{}", seed);
        const auto broken = soak_run{seed, folder, other_daemon}.play(length);
        fmt::print("seed {}: {} broken\n", seed, broken.size());
        for (const auto& one : broken)
        {
            fmt::print("  {}\n", one);
        }
        std::fflush(stdout);
        failed += broken.empty() ? 0 : 1;
    }
    return std::min(failed, 100);
}
