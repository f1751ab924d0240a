#include "harness/process_figures.hpp"

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include <fmt/format.h>
#include <unistd.h>

namespace waxwingvalve::harness
{

double processor_seconds(int process)
{
    std::ifstream file{fmt::format("/proc/{}/stat", process)};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    // The program's name is in brackets and may hold anything.
    std::istringstream rest{text.substr(text.rfind(')') + 2)};
    constexpr int fields_before_utime = 11;
    std::string skipped;
    for (int field = 0; field < fields_before_utime; ++field)
    {
        rest >> skipped;
    }
    double user{};
    double system{};
    rest >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::uint64_t memory_high_water_kb(int process)
{
    std::ifstream file{fmt::format("/proc/{}/status", process)};
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with("VmHWM:"))
        {
            return std::stoull(line.substr(line.find(':') + 1));
        }
    }
    return 0;
}

} // namespace waxwingvalve::harness
