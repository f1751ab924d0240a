// What this process may use of the VM's memory, and what it uses.
//
// The physical memory is no answer: a supervisor, a control group or the kernel
// ends a process, or fails its allocations, far below it.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string_view>

namespace waxwingvalve::base
{

// Where a limit comes from.
enum class memory_limit_source : std::uint8_t
{
    settings,
    // RLIMIT_AS and RLIMIT_DATA of the process.
    address_space,
    data_segment,
    control_group,
    // Half of the VM's memory, which other processes share.
    physical_memory,
    // Nothing else is known.
    assumed,
};

// Name of a source in logs and metrics.
std::string_view describe(memory_limit_source source);

struct memory_limit
{
    std::uint64_t bytes{};
    memory_limit_source source{memory_limit_source::assumed};
};

// What each source says, in bytes; nothing where it sets no limit.
struct memory_limits
{
    std::optional<std::uint64_t> settings{};
    std::optional<std::uint64_t> address_space{};
    std::optional<std::uint64_t> data_segment{};
    std::optional<std::uint64_t> control_group{};
    // All of the VM's memory.
    std::optional<std::uint64_t> physical_memory{};
};

// Used where no source sets a limit.
constexpr std::uint64_t assumed_memory_bytes = 256ULL * 1024 * 1024;

memory_limit strictest(const memory_limits& limits);

// Asks the system; `settings` stays empty.
memory_limits read_memory_limits();

// The strictest limit on this process's control group and those above it.
// `groups` is the text of /proc/self/cgroup, `root` the mount point of the
// control groups of version 2, or the folder above that of the memory
// controller of version 1.
std::optional<std::uint64_t> control_group_limit(
    std::string_view groups, const std::filesystem::path& root);

// Memory that this process uses now, in bytes; 0 if the system doesn't tell.
std::uint64_t resident_bytes();

// Makes the allocator give large blocks back to the system when they are freed.
// By default it comes to keep blocks of up to 32 MiB.
void return_freed_memory();

} // namespace waxwingvalve::base
