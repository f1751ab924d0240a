// Paces the requests that this daemon sends to workers that have named a limit.
//
// The limit holds for all daemons together, without coordination per request.
// Rendezvous hashing draws a few senders for each worker among the daemons of
// its region, or among all if none is there, and these divide the limit
// equally; the others send nothing. Times between two requests of a sender are
// never shorter than its share allows, and time that passes unused is lost:
// credit of many daemons would add up to a burst.
//
// The draw has to hold while daemons disagree on who lives:
// - A silent daemon stays a sender for some time, since it may only be out of
//   reach. Then another one takes its place.
// - A daemon that hears no majority of the daemons that it knows may itself be
//   cut off, and its share may be taken. It then sends the share that it would
//   have if every known daemon were a sender: less than half the limit for all
//   on its side of the cut.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "decision/steering/fleet_members.hpp"
#include "decision/steering/rate_limit_table.hpp"

namespace waxwingvalve::decision::steering
{

// What this daemon knows of the fleet.
struct sender_view
{
    std::string_view self{};
    // All known daemons, including this one; none that leaves.
    std::span<const fleet_members::known_member> daemons{};
    // False until the list has had time to fill, and once this daemon leaves.
    bool may_send{};
    // Whether there should be other daemons than this one.
    bool others_expected{};
};

class rate_limit_pacer
{
public:
    using worker_digest = rate_limit_table::worker_digest;

    // A sender's place is taken when it has been silent for this long.
    static constexpr std::chrono::seconds takeover_silence{8};
    // A daemon that has been silent for this long doesn't count as heard.
    static constexpr std::chrono::seconds heard_silence{4};
    // Fleet size that a daemon assumes which knows no other, but should.
    static constexpr double assumed_daemons = 72.0;
    // Senders of a limit near 0; more for higher ones.
    static constexpr std::size_t min_senders = 2;

    explicit rate_limit_pacer(std::uint64_t seed) : random_{seed} {}

    // The daemons that share a limit. Few enough that a request of each at the
    // same moment does little beyond the limit.
    static std::size_t sender_count(double requests_per_s);

    // This daemon's part of the worker's limit, in [0, 1].
    static double share_of(
        std::string_view worker_id,
        std::string_view worker_region,
        double requests_per_s,
        const sender_view& fleet);

    // Sets the rate at which this daemon may send to the worker. The first
    // request is due after a random part of the time between two, or after the
    // whole of it if `just_sent`.
    void set_rate(
        worker_digest worker,
        double requests_per_s,
        bool just_sent,
        base::instant now);
    // The worker has no limit any more.
    void remove(worker_digest worker) { workers_.erase(worker); }

    // Removes the workers that have no limit any more.
    void remove_others(const std::map<worker_digest, rate_limit>& limits);

    // Whether a request may be sent now. True for workers without a limit.
    bool allows(worker_digest worker, base::instant now) const;
    // Counts a request that is sent now, if it may be.
    bool try_acquire(worker_digest worker, base::instant now);
    // Part of all objects, in [0, 1], whose requests should go to the worker
    // although others rank before it: rises from 0 with the time for which a
    // request has been due, so that the worker gets its rate also when few
    // requests of this daemon belong there.
    double claim(worker_digest worker, base::instant now) const;

private:
    struct pace
    {
        // Zero if this daemon is not a sender.
        double requests_per_s{};
        base::instant due{};
    };

    static base::duration interval(double requests_per_s);

    std::mt19937_64 random_;
    std::map<worker_digest, pace> workers_;
};

} // namespace waxwingvalve::decision::steering
