#include "harness/layout.hpp"

namespace waxwingvalve::harness
{

layout authority()
{
    return {
        .name = "authority",
        .zones =
            {{"addis", "addis-a", 2},
             {"addis", "addis-b", 2},
             {"gondar", "gondar-a", 2},
             {"gondar", "gondar-b", 2},
             {"harar", "harar-a", 2},
             {"harar", "harar-b", 1}},
        .services =
            {{"seam-registry", 20, 4, "/filings"},
             {"lacquer-catalogue", 12, 4, ""}},
        .zone_delay_us = 4000,
        .region_delay_us = 35000};
}

layout khwai()
{
    return {
        .name = "khwai",
        .zones =
            {{"isan", "isan-a", 2},
             {"isan", "isan-b", 2},
             {"lanna", "lanna-a", 2},
             {"lanna", "lanna-b", 2},
             {"central-plain", "central-plain-a", 2},
             {"central-plain", "central-plain-b", 1}},
        .services =
            {{"hire-desk", 24, 6, "/bookings"}, {"herdbook", 12, 5, ""}},
        .zone_delay_us = 3000,
        .region_delay_us = 20000};
}

layout small()
{
    return {
        .name = "small",
        .zones = {{"addis", "addis-a", 2}, {"gondar", "gondar-a", 1}},
        .services = {{"seam-registry", 6, 4, "/filings"}},
        .zone_delay_us = 4000,
        .region_delay_us = 35000};
}

} // namespace waxwingvalve::harness
