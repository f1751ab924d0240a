// The two deployments of the first users, as numbers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingvalve::harness
{

struct zone_layout
{
    std::string region{};
    std::string name{};
    int entries{};
};

struct service_layout
{
    std::string name{};
    int workers{};
    std::uint32_t slots{};
    // Path prefix of its non-idempotent operation; empty without one.
    std::string filing_prefix{};
};

struct layout
{
    std::string name{};
    std::vector<zone_layout> zones{};
    std::vector<service_layout> services{};
    int zone_delay_us{};
    int region_delay_us{};
};

layout authority();
layout khwai();
// Two zones and three entries, for tests of one decision that start often.
layout small();

} // namespace waxwingvalve::harness
