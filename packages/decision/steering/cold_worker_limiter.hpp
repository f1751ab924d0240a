// Limits the rate of requests that this daemon sends to a cold worker.
//
// The limit applies to all daemons together, without coordination per request:
// rendezvous hashing over the live daemons selects a few senders for each
// worker, and these divide its rate equally. All other daemons send it nothing
// while it is cold.
//
// A daemon that has just started has an incomplete member list. When a whole
// fleet starts at once, every daemon would select itself, so a daemon sends
// nothing to cold workers until its member list has settled. A daemon that then
// still knows no other one assumes a large fleet and takes the smallest share.
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

class cold_worker_limiter
{
public:
    // Daemons that may send to one cold worker. With more of them, each would
    // get less than one request per second at typical rates.
    static constexpr std::size_t max_senders = 3;
    // Fleet size that a daemon assumes while it knows no other daemon.
    static constexpr double assumed_daemons = 72.0;

    // Returns true and counts the request if it may be sent now. `daemons`
    // holds the names of the live daemons, including `self`. `settled` is false
    // until the member list has had time to fill.
    bool try_acquire(
        std::string_view worker_id,
        double requests_per_s,
        std::string_view self,
        std::span<const std::string> daemons,
        bool settled,
        base::instant now);

    // Removes the state of workers whose next send time is before `before`.
    void remove_idle(base::instant before);

private:
    struct worker_state
    {
        // Earliest time of the next request.
        base::instant next_send{};
    };

    std::map<std::string, worker_state, std::less<>> workers_;
};

} // namespace waxwingvalve::decision::steering
