// How many requests this daemon may send to a cold worker.
//
// The bound holds for all daemons together and nobody is asked for each
// request. So only a few daemons, drawn for each worker by rendezvous hashing
// over the live ones, send to it while it is cold, and they divide its rate.
//
// A daemon that started a moment ago does not know who lives. When a whole
// fleet starts, every daemon would draw itself, so it sends nothing to cold
// workers until heartbeats had time to reach it. One that still knows nobody
// takes the smallest share.
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

class cold_pace
{
public:
    // Daemons that share one cold worker. More of them would each get less
    // than a request a second of the usual rates.
    static constexpr std::size_t senders = 3;
    // Daemons that are assumed to live beside one that knows of none.
    static constexpr double unknown_daemons = 72.0;

    // `daemons` are the names of the live daemons, this one included;
    // `settled` is false until that list had time to fill. True when a
    // request may be sent now; it is then counted.
    bool take(
        std::string_view worker_id,
        double requests_per_s,
        std::string_view self,
        std::span<const std::string> daemons,
        bool settled,
        base::instant now);

    // Drops the counts of workers that were last used before `before`.
    void forget(base::instant before);

private:
    struct allowance
    {
        // Earliest time of the next request.
        base::instant next{};
    };

    std::map<std::string, allowance, std::less<>> allowances_;
};

} // namespace waxwingvalve::decision::steering
