// Which of the zone's upstream workers this daemon owns: at most one daemon
// of the zone dispatches to a worker at any time.
//
// Mutual exclusion after Ricart and Agrawala (1981), with proof in place of
// an answer where a member is gone. A daemon owns a worker once every other
// member of the zone, after the claim began, has granted it or was proven
// gone. A member grants what it neither owns nor may still dispatch to, and
// gives up its own claim by granting. So of two daemons the later claim
// always meets the earlier: two owners would each have to have granted
// before they claimed. Lost, late and repeated messages only delay: a grant
// counts for the claim whose stamp it carries and for no other. Silence
// grants nothing.
//
// Rendezvous hashing orders the members for each worker; a worker moves
// towards the first of them, and away from one that leaves or is gone.
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
    // A longer gap between two ticks means that the process was paused.
    base::duration gap_limit{std::chrono::seconds{1}};
    base::duration claim_retry{std::chrono::milliseconds{300}};
};

struct zone_worker
{
    base::endpoint address{};
    std::uint32_t slots{};
};

// What the serving thread says of the sets it was given.
struct serving_state
{
    // Version of the newest set that it dispatches by.
    std::uint64_t version{};
    // Workers that requests of this daemon run on now.
    std::set<base::endpoint> running{};
};

struct claim_message
{
    std::string to{};
    schema::message_kind kind{};
    std::vector<schema::worker_claim> claims{};
};

class zone_ownership
{
public:
    // `first_stamp` is above every stamp of earlier processes of this name.
    zone_ownership(
        std::string self, std::uint64_t first_stamp, ownership_options options);

    void set_workers(std::span<const zone_worker> workers);
    // A member of the zone. One that is not `eligible` leaves or is gone: it
    // should own nothing, but is asked all the same.
    void set_member(const std::string& name, bool eligible);
    // The VM list had this member and has it no longer: it is granted nothing
    // until it is listed again.
    void set_listed(const std::string& name, bool listed);
    // This daemon hands over all that it owns and claims nothing more.
    void leave();

    // Called several times in `gap_limit`; returns claims to be sent.
    std::vector<claim_message> tick(base::instant now);
    // Returns the grants for a claim.
    std::optional<claim_message> on_claim(
        const std::string& from, std::span<const schema::worker_claim> claims);
    void on_grant(
        const std::string& from, std::span<const schema::worker_claim> claims);
    // Proof, by an attempt that began at `began`, that no process of `name`
    // runs: its address refused a connection; or its VM left the VM list
    // more than a tenure ago and it was silent for as long.
    void on_gone(const std::string& name, base::instant began);
    void on_serving(serving_state state);

    const owned_workers& owned() const { return owned_; }
    // Members whose answer a claim of this daemon waits for.
    std::vector<std::string> awaited() const;
    std::size_t claims_open() const;

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
        base::instant began{};
        // Members that granted this claim or were proven gone during it.
        std::set<std::string> settled{};
        // Version of the first set without it, after it was owned.
        std::uint64_t dropped_at{};
        // No longer in the configuration; kept until the serving thread is
        // known to be done with it.
        bool removed{};
    };

    bool should_own(const base::endpoint& worker) const;
    bool comes_before_self(
        const std::string& other, const base::endpoint& worker) const;
    bool may_grant(
        const base::endpoint& address, const worker_state& one) const;
    bool settled(const worker_state& one) const;
    void begin_claim(worker_state& one, base::instant now);
    void own(const base::endpoint& address, worker_state& one);
    void drop(const base::endpoint& address, worker_state& one);
    void step(
        const base::endpoint& address, worker_state& one, base::instant now);
    void give_up_all();
    std::vector<claim_message> open_claims(base::instant now);

    std::string self_;
    ownership_options options_;
    std::uint64_t last_stamp_;
    std::map<base::endpoint, worker_state> workers_;
    std::map<std::string, bool> eligible_;
    std::set<std::string> unlisted_;
    bool leaving_{false};
    std::optional<base::instant> last_tick_;
    std::optional<base::instant> last_claims_;
    serving_state serving_;
    owned_workers owned_;
};

} // namespace waxwingvalve::decision::ownership
