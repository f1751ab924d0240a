#include "base/memory_limit.hpp"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <sstream>
#include <string>

#include "base/number.hpp"

namespace waxwingvalve::base
{

namespace
{

// Blocks from this size on are mapped by themselves, and unmapped when freed.
constexpr int own_mapping_bytes = 1024 * 1024;
// Free memory at the end of the heap beyond this is given back.
constexpr int kept_heap_bytes = 1024 * 1024;

std::optional<std::uint64_t> limit_of(decltype(RLIMIT_AS) resource)
{
    rlimit limit{};
    if (::getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    {
        return std::nullopt;
    }
    return limit.rlim_cur;
}

std::optional<std::uint64_t> physical_memory()
{
    const auto pages = ::sysconf(_SC_PHYS_PAGES);
    const auto page_bytes = ::sysconf(_SC_PAGESIZE);
    if (pages <= 0 || page_bytes <= 0)
    {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(pages) *
           static_cast<std::uint64_t>(page_bytes);
}

std::string read_text(const std::filesystem::path& path)
{
    std::ostringstream text;
    text << std::ifstream{path}.rdbuf();
    return std::move(text).str();
}

// The number in a file; nothing if it is "max", or if there is no such file.
std::optional<std::uint64_t> read_limit(const std::filesystem::path& path)
{
    std::string word;
    std::ifstream{path} >> word;
    return parse_number<std::uint64_t>(word);
}

void keep_least(
    std::optional<std::uint64_t>& least,
    const std::optional<std::uint64_t>& other)
{
    if (other && (!least || *other < *least))
    {
        least = other;
    }
}

// `group` is a path below `root`; the limits of all groups above it hold, too.
std::optional<std::uint64_t> limit_below(
    const std::filesystem::path& root,
    const std::filesystem::path& group,
    const char* file)
{
    auto least = read_limit(root / file);
    auto folder = root;
    for (const auto& part : group.relative_path())
    {
        folder /= part;
        keep_least(least, read_limit(folder / file));
    }
    return least;
}

// Whether a list of controllers, separated by commas, has that of the memory.
bool has_memory_controller(std::string_view controllers)
{
    while (!controllers.empty())
    {
        const auto end = controllers.find(',');
        if (controllers.substr(0, end) == "memory")
        {
            return true;
        }
        controllers.remove_prefix(
            end == std::string_view::npos ? controllers.size() : end + 1);
    }
    return false;
}

} // namespace

std::string_view describe(memory_limit_source source)
{
    switch (source)
    {
    case memory_limit_source::settings:
        return "settings";
    case memory_limit_source::address_space:
        return "address_space";
    case memory_limit_source::data_segment:
        return "data_segment";
    case memory_limit_source::control_group:
        return "control_group";
    case memory_limit_source::physical_memory:
        return "physical_memory";
    case memory_limit_source::assumed:
        break;
    }
    return "assumed";
}

memory_limit strictest(const memory_limits& limits)
{
    constexpr std::uint64_t physical_parts = 2;
    auto physical = limits.physical_memory;
    if (physical)
    {
        *physical /= physical_parts;
    }
    struct named_limit
    {
        std::optional<std::uint64_t> bytes;
        memory_limit_source source;
    };
    const std::array<named_limit, 5> all{{
        {limits.settings, memory_limit_source::settings},
        {limits.address_space, memory_limit_source::address_space},
        {limits.data_segment, memory_limit_source::data_segment},
        {limits.control_group, memory_limit_source::control_group},
        {physical, memory_limit_source::physical_memory},
    }};
    std::optional<memory_limit> least;
    for (const auto& [bytes, source] : all)
    {
        if (bytes && (!least || *bytes < least->bytes))
        {
            least = memory_limit{*bytes, source};
        }
    }
    return least.value_or(memory_limit{assumed_memory_bytes});
}

// Lines are "0::PATH" for version 2, and "NUMBER:CONTROLLERS:PATH" for 1.
std::optional<std::uint64_t> control_group_limit(
    std::string_view groups, const std::filesystem::path& root)
{
    std::optional<std::uint64_t> least;
    std::istringstream lines{std::string{groups}};
    for (std::string line; std::getline(lines, line);)
    {
        const auto first = line.find(':');
        const auto second =
            first == std::string::npos ? first : line.find(':', first + 1);
        if (second == std::string::npos)
        {
            continue;
        }
        const auto controllers = line.substr(first + 1, second - first - 1);
        const std::filesystem::path group{line.substr(second + 1)};
        if (controllers.empty())
        {
            keep_least(least, limit_below(root, group, "memory.max"));
        }
        if (has_memory_controller(controllers))
        {
            keep_least(
                least,
                limit_below(root / "memory", group, "memory.limit_in_bytes"));
        }
    }
    return least;
}

memory_limits read_memory_limits()
{
    return {
        .address_space = limit_of(RLIMIT_AS),
        .data_segment = limit_of(RLIMIT_DATA),
        .control_group = control_group_limit(
            read_text("/proc/self/cgroup"), "/sys/fs/cgroup"),
        .physical_memory = physical_memory()};
}

std::uint64_t resident_bytes()
{
    std::uint64_t all_pages{0};
    std::uint64_t resident_pages{0};
    std::ifstream{"/proc/self/statm"} >> all_pages >> resident_pages;
    return resident_pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

void return_freed_memory()
{
    ::mallopt(M_MMAP_THRESHOLD, own_mapping_bytes);
    ::mallopt(M_TRIM_THRESHOLD, kept_heap_bytes);
}

} // namespace waxwingvalve::base
