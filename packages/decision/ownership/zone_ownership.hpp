// Assigns the upstream workers of a zone to its daemons, so that at most one
// daemon dispatches to a worker at any time. A state machine without clock or
// socket.
//
// The algorithm is the mutual exclusion of Ricart and Agrawala (1981), where
// a proof that a member is dead replaces its grant. A daemon owns a worker
// once every other member of the zone has granted its claim, or was proven
// dead, after the claim started. A member grants a worker only if it neither
// owns it nor may still dispatch to it, and it gives up its own claim when it
// grants. Two daemons can't both own a worker: each would have to have
// granted the other's claim before it started its own. Lost, late or repeated
// messages only delay a claim, because a grant counts only for the claim
// whose stamp it carries. A missing answer never counts as a grant.
//
// Rendezvous hashing ranks the members for each worker. Ownership moves to
// the highest-ranked member that is eligible, so it moves away from a member
// that is leaving or dead.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "decision/ownership/owned_workers.hpp"
#include "schema/messages.hpp"

namespace waxwingvalve::decision::ownership
{

struct ownership_options
{
    // A longer gap between two ticks means that the process was paused. Also
    // the validity of a set of owned workers.
    base::duration max_tick_gap{std::chrono::seconds{1}};
    base::duration claim_retry_interval{std::chrono::milliseconds{300}};
};

// A worker of this zone as the configuration lists it.
struct zone_worker
{
    base::endpoint address{};
    std::uint32_t slots{};
};

// Report of the serving thread about the owned workers it was given.
struct serving_state
{
    // Version of the owned_workers that it dispatches by.
    std::uint64_t version{};
    // Workers with requests of this daemon in flight.
    std::set<base::endpoint> running{};
};

// A message of kind `claim` or `grant` for the member `to`.
struct claim_message
{
    std::string to{};
    schema::message_kind kind{};
    std::vector<schema::worker_claim> claims{};
};

class zone_ownership
{
public:
    // `first_stamp` must be higher than every stamp that earlier processes of
    // the daemon `self` used.
    zone_ownership(
        std::string self, std::uint64_t first_stamp, ownership_options options);

    // Replaces the configured workers; ownership of removed ones is released.
    void set_workers(std::span<const zone_worker> workers);
    // Adds or updates a member of the zone. A member that is leaving or dead
    // is not `eligible`: it should own no worker, but its grant or a proof of
    // its death is still required.
    void set_member(const std::string& name, bool eligible);
    // `listed` is false for a member that has disappeared from the VM list.
    // Its claims are ignored until it is listed again.
    void set_vm_listed(const std::string& name, bool listed);
    // Releases all workers and makes no further claims.
    void leave();

    // Must be called several times per `max_tick_gap`. Returns the claims to
    // send.
    std::vector<claim_message> tick(base::instant now);
    // Returns the grants to send back, or nullopt if nothing is granted.
    std::optional<claim_message> on_claim(
        const std::string& from, std::span<const schema::worker_claim> claims);
    void on_grant(
        const std::string& from, std::span<const schema::worker_claim> claims);
    // Called with proof, from a check that started at `probe_start`, that no
    // process of `name` is running: either its address refused a connection,
    // or its VM disappeared from the VM list more than a tenure ago and no
    // message came from it for as long.
    void on_member_dead(const std::string& name, base::instant probe_start);
    void on_serving_state(serving_state state);

    const owned_workers& owned() const { return owned_; }
    // Members that have not yet granted an open claim of this daemon.
    std::vector<std::string> awaited() const;
    // Number of workers that this daemon claims but does not own yet.
    std::size_t open_claim_count() const;

private:
    enum class claim_state : std::uint8_t
    {
        idle,
        claiming,
        owned,
    };

    struct worker_state
    {
        std::uint32_t slots{};
        claim_state state{};
        std::uint64_t stamp{};
        base::instant claim_start{};
        // Members that granted this claim or were proven dead since it
        // started.
        std::set<std::string> settled_members{};
        // Version of the first owned_workers without this worker after its
        // release.
        std::uint64_t released_version{};
        // Not in the configuration. Kept until the serving thread has
        // confirmed that it no longer uses the worker.
        bool removed{};
    };

    bool should_own(const base::endpoint& worker) const;
    bool ranks_before_self(
        const std::string& other, const base::endpoint& worker) const;
    bool may_grant(
        const base::endpoint& address, const worker_state& worker) const;
    bool claim_settled(const worker_state& worker) const;
    void begin_claim(worker_state& worker, base::instant now);
    void take_ownership(const base::endpoint& address, worker_state& worker);
    void release(const base::endpoint& address, worker_state& worker);
    void advance_claim(
        const base::endpoint& address, worker_state& worker, base::instant now);
    void release_all();
    std::vector<claim_message> due_claim_messages(base::instant now);

    std::string self_;
    ownership_options options_;
    std::uint64_t last_stamp_;
    std::map<base::endpoint, worker_state> workers_;
    std::map<std::string, bool> eligible_;
    std::set<std::string> unlisted_;
    bool leaving_{false};
    std::optional<base::instant> last_tick_;
    std::optional<base::instant> claims_sent_at_;
    serving_state serving_;
    owned_workers owned_;
};

} // namespace waxwingvalve::decision::ownership
