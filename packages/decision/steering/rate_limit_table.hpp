// The request rates that workers have named as their limits, as this daemon and
// its peers have read them in answers.
//
// A worker names its limit with each answer for as long as the limit holds, and
// answers may overtake each other. So an answer with a limit counts from its
// receipt, and one without a limit from the time at which its request was sent:
// it lifts a limit only if it was asked for after the limit was last named.
//
// Daemons tell each other what they read, so that those that send nothing to
// the worker learn of a new limit and of its end. Each statement has an id, and
// a daemon forwards it for some rounds only. A message holds a bounded number
// of them, whatever the size of the fleet.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/time.hpp"
#include "schema/fleet.hpp"

namespace waxwingvalve::decision::steering
{

// A limit that is in force.
struct rate_limit
{
    double requests_per_s{};
    // When this daemon learned of it.
    base::instant known_since{};
};

// What a statement has changed for this daemon.
enum class rate_limit_change : std::uint8_t
{
    none,
    // A limit, or another rate.
    named,
    lifted,
};

class rate_limit_table
{
public:
    // Workers are identified by their incarnation digests.
    using worker_digest = std::uint64_t;

    // A worker whose limit is lower, or 0, gets requests at this rate, since
    // only its answers tell that the limit is gone.
    static constexpr float min_requests_per_s = 0.1F;
    // Rounds for which a daemon forwards a statement.
    static constexpr int gossip_rounds = 5;
    static constexpr std::size_t max_statements_per_message = 16;
    static constexpr std::size_t max_workers = 4'096;
    // A statement that repeats a younger one than this isn't passed on.
    static constexpr std::chrono::seconds repeat_interval{3};
    // A remote statement may be older than it seems by this: the delays of its
    // messages.
    static constexpr std::chrono::milliseconds max_message_delay{250};
    // A limit that nobody has named for this long, and up to twice as long, is
    // forgotten. The time differs from daemon to daemon, so that they don't
    // turn to the worker all at once.
    static constexpr std::chrono::seconds forget_after{60};

    explicit rate_limit_table(std::uint64_t seed) : random_{seed} {}

    // An answer of the worker that was received at `now` named a limit.
    rate_limit_change record_named(
        worker_digest worker, double requests_per_s, base::instant now);
    // An answer named none. Its request was sent at `sent_at`.
    rate_limit_change record_unnamed(
        worker_digest worker, base::instant sent_at, base::instant now);

    std::optional<rate_limit> find(worker_digest worker) const;
    // The limits in force, by worker.
    std::map<worker_digest, rate_limit> limits() const;

    // Returns the statements to include in the messages of the next round, and
    // forgets old ones.
    std::vector<schema::rate_limit_statement> next_round(base::instant now);
    rate_limit_change receive(
        const schema::rate_limit_statement& statement, base::instant now);

private:
    struct statement
    {
        std::uint64_t id{};
        // Whether the worker has a limit.
        bool limited{};
        // As precise as in messages, so that a limit equals its repetitions.
        float requests_per_s{};
        // Receipt of the answer with the limit, or the sending of the request
        // whose answer had none.
        base::instant at{};
        base::instant known_since{};
        // When it got its id.
        base::instant published_at{};
        int rounds_left{};
        std::chrono::milliseconds forget_after{};
    };

    rate_limit_change adopt(
        worker_digest worker, statement next, base::instant now);
    bool newer(const statement& known, const statement& remote) const;
    void forget_old(base::instant now);
    void forget_oldest();
    std::chrono::milliseconds draw_forget_time();

    std::mt19937_64 random_;
    // The newest statement on each worker. Invariant: at most max_workers.
    std::map<worker_digest, statement> statements_;
};

} // namespace waxwingvalve::decision::steering
