// Processor time and memory of a process that a bench started (proc(5)).
#pragma once

#include <cstdint>

namespace waxwingvalve::harness
{

// User and system time so far, in seconds.
double processor_seconds(int process);

// The most memory that it had resident, in KB; 0 when it is gone.
std::uint64_t memory_high_water_kb(int process);

} // namespace waxwingvalve::harness
