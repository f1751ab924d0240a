// Membership protocol with probes and gossip, based on SWIM (Das, Gupta and
// Motivala, 2002). A state machine without clock or socket.
//
// In each probe period a daemon probes one member of its own zone and one of
// a few remote peers in other zones. If a probe is not answered in time, it
// asks a few other members to probe the target. Membership updates are
// piggybacked on the probes and their answers. The size of a message is
// bounded, so the cost per daemon does not grow with the number of daemons.
// A member that does not answer becomes suspect, but it may still be alive:
// only mark_dead(), called with proof, makes it dead.
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
    base::duration probe_period{std::chrono::seconds{1}};
    // If a probe is unanswered for this long, other members are asked to
    // probe the target.
    base::duration probe_timeout{std::chrono::milliseconds{300}};
    std::size_t indirect_probes{3};
    std::size_t remote_peers{3};
    base::duration remote_peer_rotation{std::chrono::seconds{30}};
    // Limit on the members remembered of each other zone. A few suffice to
    // pass a request to that zone.
    std::size_t max_members_per_remote_zone{4};
    // Limits on the updates in one message about members of the own zone and
    // of other zones.
    std::size_t max_zone_updates{3};
    std::size_t max_remote_updates{2};
    base::duration forget_dead_after{std::chrono::minutes{10}};
};

// A message to send to the member `name` at its peer address.
struct outgoing_message
{
    std::string name{};
    base::endpoint peer_address{};
    schema::peer_message message{};
};

class swim
{
public:
    swim(member_report self, swim_options options, std::uint64_t seed);

    // Adds a daemon from the settings or the VM list that has not sent a
    // report yet.
    void add_seed(member_report seed);
    // Replaces the report of this daemon except for its incarnation and
    // version, which this class maintains.
    void set_self(member_report report);

    // Must be called several times per probe period.
    std::vector<outgoing_message> tick(base::instant now);
    // Merges the updates of `message` and returns the answers to send.
    // Errors: message_outdated; the message is then ignored.
    base::result<std::vector<outgoing_message>> receive(
        const schema::peer_message& message, base::instant now);

    // Called with proof that no process of `name` is running. Only a report
    // with a higher incarnation makes the member alive again.
    void mark_dead(const std::string& name, base::instant now);

    // Returns messages that send this daemon's report to every member of the
    // zone at once. For rare changes only: the cost grows with the zone.
    std::vector<outgoing_message> announce(base::instant now);

    member_snapshot snapshot() const;
    // Returns the report of a member, or null if it is not known.
    const member_report* find(const std::string& name) const;
    std::vector<std::string> zone_suspects() const;
    const member_report& self() const { return self_; }
    // Sets the sender, the incarnation and the next sequence number. Messages
    // of other state machines need them too.
    void set_header(schema::peer_message& message);
    // Number of times that a probe of this daemon made a member suspect.
    std::uint64_t suspicions() const { return suspicions_; }

private:
    struct member_entry
    {
        member_report report{};
        bool seed{};
        bool dead{};
        bool suspect{};
        base::instant heard_at{};
        base::instant died_at{};
        base::instant sent_at{};
        // Number of further messages in which this entry goes first after a
        // change.
        int urgent_sends_left{};
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

    // A probe sent on behalf of another daemon.
    struct relayed_probe
    {
        std::string requester{};
        std::uint64_t requester_probe_id{};
        base::instant sent_at{};
    };

    void begin_period(
        base::instant now, std::vector<outgoing_message>& messages);
    void end_probe(const probe& ended);
    void send_ping_requests(
        const probe& unanswered,
        base::instant now,
        std::vector<outgoing_message>&);
    void remove_expired(base::instant now);
    std::optional<std::string> next_zone_target();
    std::optional<std::string> next_remote_target(base::instant now);
    outgoing_message make_message(
        const std::string& to,
        const base::endpoint& address,
        schema::message_kind kind,
        base::instant now);
    void add_reports(schema::peer_message& message, base::instant now);
    void merge(const schema::member_update& update, base::instant now);
    void merge_self(const schema::member_update& update);
    void trim_remote_zone(const std::string& zone);

    member_report self_;
    swim_options options_;
    std::mt19937_64 random_;
    sequence_guard sequence_guard_;
    std::map<std::string, member_entry> members_;
    std::vector<std::string> probe_round_;
    std::vector<probe> probes_;
    std::map<std::uint64_t, relayed_probe> relayed_probes_;
    std::optional<base::instant> period_start_;
    std::uint64_t last_probe_id_{0};
    std::uint64_t last_sequence_{0};
    std::uint64_t next_remote_index_{0};
    std::uint64_t suspicions_{0};
};

} // namespace waxwingvalve::decision::membership
