// Membership by probing and gossip, after SWIM (Das, Gupta and Motivala,
// 2002), as a state machine without clock or socket.
//
// Each period a daemon probes one member of its zone, directly and, when
// that stays unanswered, through a few others; and one of a few long-range
// peers. What it knows travels on the probes and their answers, in messages
// bounded in bytes, so its cost does not grow with the number of daemons.
// An unanswered member is suspect, which proves nothing: only mark_gone(),
// called with a proof, makes it dead.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "decision/membership/member_snapshot.hpp"
#include "decision/membership/sequence_guard.hpp"
#include "schema/messages.hpp"

namespace waxwingvalve::decision::membership
{

struct swim_options
{
    base::duration period{std::chrono::seconds{1}};
    // After this without answer others are asked to probe.
    base::duration probe_timeout{std::chrono::milliseconds{300}};
    std::size_t indirect_probes{3};
    std::size_t far_peers{3};
    base::duration far_rotation{std::chrono::seconds{30}};
    // Members kept of each other zone: enough to pass a request there.
    std::size_t members_per_far_zone{4};
    // Reports of others in one message, own zone and other zones.
    std::size_t zone_updates{3};
    std::size_t far_updates{2};
    base::duration forget_dead_after{std::chrono::minutes{10}};
};

struct outgoing
{
    std::string name{};
    base::endpoint to{};
    schema::peer_message message{};
};

class swim
{
public:
    swim(member_report self, swim_options options, std::uint64_t seed);

    // A daemon named by the settings or the VM list, not heard of yet.
    void add_seed(member_report seed);
    // Room, key prefix, revision and leaving of this daemon; its incarnation
    // and version are kept here.
    void set_self(member_report report);

    // Called several times a period.
    std::vector<outgoing> tick(base::instant now);
    // Errors: message_outdated; the message then changed nothing.
    base::result<std::vector<outgoing>> receive(
        const schema::peer_message& message, base::instant now);

    // `name` has no process at its address any more. A report of a higher
    // incarnation is needed to bring it back.
    void mark_gone(const std::string& name, base::instant now);

    // Tells all of the zone at once what set_self() changed; for rare changes
    // only, because its cost grows with the zone.
    std::vector<outgoing> announce(base::instant now);

    member_snapshot snapshot() const;
    // Null for a name that is not known.
    const member_report* find(const std::string& name) const;
    std::vector<std::string> suspects_of_zone() const;
    const member_report& self() const { return self_; }
    // Puts sender, incarnation and the next sequence on a message of another
    // state machine.
    void stamp(schema::peer_message& message);
    // Members that probes of this daemon made suspect so far.
    std::uint64_t suspicions() const { return suspicions_; }

private:
    struct entry
    {
        member_report report{};
        bool seed{};
        bool dead{};
        bool suspect{};
        base::instant heard_at{};
        base::instant gone_at{};
        base::instant sent_at{};
        // Messages that still carry a change of this entry first.
        int urgent{};
    };

    struct probe
    {
        std::uint64_t id{};
        std::string target{};
        std::uint64_t version{};
        base::instant sent_at{};
        bool indirect{};
        bool answered{};
    };

    // A probe made for another daemon.
    struct relayed_probe
    {
        std::string asker{};
        std::uint64_t asked_id{};
        base::instant sent_at{};
    };

    void begin_period(base::instant now, std::vector<outgoing>& out);
    void end_probe(const probe& ended);
    void ask_others(
        const probe& one, base::instant now, std::vector<outgoing>&);
    void forget(base::instant now);
    std::optional<std::string> next_in_zone();
    std::optional<std::string> next_far(base::instant now);
    outgoing make(
        const std::string& to,
        const base::endpoint& where,
        schema::message_kind kind,
        base::instant now);
    void add_reports(schema::peer_message& message, base::instant now);
    void merge(const schema::member_update& update, base::instant now);
    void merge_self(const schema::member_update& update);
    void limit_zone(const std::string& zone);

    member_report self_;
    swim_options options_;
    std::mt19937_64 random_;
    sequence_guard guard_;
    std::map<std::string, entry> members_;
    std::vector<std::string> round_;
    std::vector<probe> probes_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    std::optional<base::instant> period_began_;
    std::uint64_t last_probe_{0};
    std::uint64_t last_sequence_{0};
    std::uint64_t far_turn_{0};
    std::uint64_t suspicions_{0};
};

} // namespace waxwingvalve::decision::membership
