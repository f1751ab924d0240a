// Which daemons live, by heartbeats that every daemon passes on (gossip-style
// failure detection, van Renesse, Minsky and Hayden, 1998).
//
// Each daemon counts its own heartbeat up and sends the counts that it knows
// of all others to a few at random. A member whose count stands still is no
// longer live. A daemon that hears of one it does not know asks for its
// description. Unlike decision/membership this keeps every member of every
// zone, because look-ups name entries of any zone, and it needs no proof that
// a member is gone, because nothing is handed over here.
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
    // A member that did not count up for this long is not live.
    static constexpr base::duration silence_bound{std::chrono::seconds{4}};
    static constexpr base::duration forgotten_after{std::chrono::minutes{2}};
    // Daemons of the own zone that get this daemon's heartbeats each round.
    static constexpr std::size_t near_fanout = 2;
    // Messages that leave a zone each round, from all its daemons together.
    // Bytes between zones are dear; a few carry what a whole zone knows.
    static constexpr double far_messages = 3.0;
    // Until then a daemon may not have heard of all others.
    static constexpr base::duration settle_time{
        std::chrono::milliseconds{3'000}};
    // Daemons described in one answer, so that it fits one datagram.
    static constexpr std::size_t most_described = 8;
    // Rounds after which a seed is told too, which connects parts of a fleet
    // that lost sight of each other.
    static constexpr std::uint32_t seed_rounds = 4;

    fleet_members(fleet_member self, std::uint64_t seed)
        : self_{std::move(self)}, random_{seed}
    {
    }

    // An address without a name, from the settings.
    void add_seed(base::endpoint where) { seeds_.push_back(std::move(where)); }

    void set_leaving() { self_.leaving = true; }
    void set_requests_per_s(std::uint16_t rate) { self_.requests_per_s = rate; }

    struct message
    {
        base::endpoint to{};
        fleet_beat beat{};
    };

    // Counts the own heartbeat up and says whom to send what.
    std::vector<message> next_round(base::instant now);

    struct reception
    {
        // Daemons that are live now and were not, or are leaving now.
        std::vector<std::string> changed{};
        std::vector<message> replies{};
    };
    reception receive(const fleet_beat& beat, base::instant now);

    const fleet_member& self() const { return self_; }
    // Live ones, this daemon included, leaving ones too.
    std::vector<fleet_member> live(base::instant now) const;
    std::vector<std::string> live_names(base::instant now) const;
    // The list of live daemons had time to fill.
    bool settled(base::instant now) const
    {
        return started_at_ != base::instant{} &&
               now - started_at_ >= settle_time;
    }
    // The most daemons that were live at once.
    std::size_t most_seen() const { return most_seen_; }

private:
    struct entry
    {
        fleet_member member{};
        base::instant advanced_at{};
    };

    bool is_live(const entry& one, base::instant now) const;
    void take_member(
        const fleet_member& news, base::instant now, reception& out);
    void take_counts(const fleet_beat& beat, base::instant now, reception& out);
    void describe(const fleet_beat& beat, reception& out) const;
    fleet_beat make_beat(base::instant now) const;
    std::vector<base::endpoint> receivers(base::instant now);

    fleet_member self_;
    std::mt19937_64 random_;
    // By the digest of the name.
    std::map<std::uint64_t, entry> others_;
    std::vector<base::endpoint> seeds_;
    std::size_t most_seen_{1};
    // First round.
    base::instant started_at_{};
};

} // namespace waxwingvalve::decision::steering
