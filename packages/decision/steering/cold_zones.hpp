// Zones in which workers have become cold lately.
//
// Workers of a zone become cold together: the zone lost power, or was emptied.
// One with a queue answers a health check late, so that the answers of others
// tell first that it may be cold as well.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

class cold_zones
{
public:
    // Cold times that end so far apart belong to different events.
    static constexpr base::duration same_event{std::chrono::milliseconds{300}};

    // This daemon learned at `now` that a worker of the zone is cold until
    // `until`.
    void record(std::string_view zone, base::instant until, base::instant now);

    // When this daemon learned of the latest event; nothing once the cold time
    // is over. What another worker of the zone said to a check that was sent
    // before may no longer hold.
    std::optional<base::instant> cold_since(
        std::string_view zone, base::instant now) const;

private:
    struct event
    {
        base::instant known_since{};
        base::instant until{};
    };

    std::map<std::string, event, std::less<>> latest_;
};

} // namespace waxwingvalve::decision::steering
