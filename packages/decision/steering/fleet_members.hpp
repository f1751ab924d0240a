// Tracks the live daemons by heartbeat counters (gossip-style failure
// detection; van Renesse, Minsky and Hayden, 1998).
//
// Each daemon increments its own counter and sends all counters that it knows
// to a few random daemons. A member whose counter stops advancing is no longer
// live. A daemon that receives the counter of an unknown member asks the sender
// for its description. Unlike decision/membership, this keeps the members of
// all zones, because look-ups name entries of any zone, and it needs no
// confirmation that a member is gone, because no ownership is handed over.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "schema/fleet.hpp"

namespace waxwingvalve::decision::steering
{

using schema::fleet_beat;
using schema::fleet_member;

class fleet_members
{
public:
    // A member whose counter has not advanced for this long is not live.
    static constexpr base::duration liveness_timeout{std::chrono::seconds{4}};
    static constexpr base::duration removal_timeout{std::chrono::minutes{2}};
    // Daemons of the own zone that receive a heartbeat message each round.
    static constexpr std::size_t same_zone_fanout = 2;
    // Messages to other zones per round, sent by all daemons of a zone
    // together. Traffic between zones is expensive, and one message carries all
    // counters that a zone knows.
    static constexpr double cross_zone_messages_per_round = 3.0;
    // Time after the first round until the member list counts as complete.
    static constexpr base::duration settle_time{
        std::chrono::milliseconds{3'000}};
    // Limited so that the answer fits in one datagram.
    static constexpr std::size_t max_members_per_answer = 8;
    // Daemons of each other zone that get urgent news: the datagram to one may
    // be lost, or the daemon stand still.
    static constexpr std::size_t news_fanout = 2;
    // A seed receives a message every this many rounds, which reconnects
    // partitions of the fleet that lost track of each other.
    static constexpr std::uint32_t rounds_per_seed_message = 4;
    // A daemon that has started so many rounds ago or less asks a seed in each,
    // and gets the counters of all from those who know more daemons than it.
    static constexpr std::uint64_t discovery_rounds = 6;

    fleet_members(fleet_member self, std::uint64_t seed)
        : self_{std::move(self)}, random_{seed}
    {
    }

    // Adds the address of a daemon from the settings; its name is not known.
    void add_seed(base::endpoint where) { seeds_.push_back(std::move(where)); }

    void set_leaving() { self_.leaving = true; }
    void set_requests_per_s(std::uint16_t rate) { self_.requests_per_s = rate; }

    struct message
    {
        base::endpoint to{};
        fleet_beat beat{};
    };

    // Increments the own heartbeat counter and returns the messages to send.
    std::vector<message> next_round(base::instant now);

    struct receive_result
    {
        // Names of daemons that became live or started to leave.
        std::vector<std::string> changed{};
        std::vector<message> replies{};
    };
    receive_result receive(const fleet_beat& beat, base::instant now);

    // Peer addresses of the live daemons of the own zone, without this one.
    std::vector<base::endpoint> zone_receivers(base::instant now) const;
    // Peer addresses of some live daemons of each other zone.
    std::vector<base::endpoint> other_zones_receivers(base::instant now);

    const fleet_member& self() const { return self_; }
    // Returns the live daemons, including this one and those that are leaving.
    std::vector<fleet_member> live(base::instant now) const;
    std::vector<std::string> live_names(base::instant now) const;
    // A daemon that is not leaving, whether it is live or not.
    struct known_member
    {
        std::string name{};
        std::string region{};
        // Since its counter last advanced; 0 for this daemon.
        base::duration silence{};
    };
    // Returns the daemons that are not leaving and were live within
    // removal_timeout, and this one.
    std::vector<known_member> known(base::instant now) const;
    // Another daemon that is not leaving, live or not.
    struct peer
    {
        std::uint64_t key{};
        base::endpoint address{};
        // Since its counter last advanced.
        base::duration silence{};
        // Since it was first heard after its start or after a silence.
        base::duration known_for{};
    };
    std::vector<peer> peers(base::instant now) const;
    // Digest of a daemon's name, the same on every daemon.
    static std::uint64_t key_of(std::string_view name);
    // Whether the settings name other daemons.
    bool others_expected() const;
    // Returns true once the member list has had time to fill.
    bool settled(base::instant now) const
    {
        return started_for(now) >= settle_time;
    }
    // Time since the first round; 0 before it.
    base::duration started_for(base::instant now) const
    {
        return started_at_ == base::instant{} ? base::duration{}
                                              : now - started_at_;
    }
    // Time since a daemon was last heard for the first time after its start or
    // after a silence.
    base::duration complete_for(base::instant now) const
    {
        return now - last_joined_at_;
    }
    // Returns the largest number of daemons seen live at the same time.
    std::size_t peak_live_count() const { return peak_live_count_; }

private:
    struct entry
    {
        fleet_member member{};
        base::instant heartbeat_at{};
        // Live, in this incarnation, since then.
        base::instant live_since{};
    };

    bool is_live(const entry& one, base::instant now) const;
    void merge_member(
        const fleet_member& news, base::instant now, receive_result& out);
    bool lacks_members(const fleet_beat& beat, base::instant now) const;
    void merge_counts(
        const fleet_beat& beat, base::instant now, receive_result& out);
    void answer_unknown(const fleet_beat& beat, receive_result& out) const;
    fleet_beat make_beat(base::instant now) const;
    std::vector<base::endpoint> choose_receivers(base::instant now);

    fleet_member self_;
    std::mt19937_64 random_;
    // Keyed by the hash of the member's name.
    std::map<std::uint64_t, entry> others_;
    std::vector<base::endpoint> seeds_;
    std::size_t peak_live_count_{1};
    // Time of the first round.
    base::instant started_at_{};
    base::instant last_joined_at_{};
};

} // namespace waxwingvalve::decision::steering
