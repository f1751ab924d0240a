// Which requests end the workers that run them.
//
// A worker that dies leaves every request that ran on it as a suspect. A
// suspect runs next with a worker to itself: if that worker dies too the
// request is refused from then on, and if it answers the request is cleared.
// So no request is refused for what another one did.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "base/time.hpp"
#include "decision/retries/request_digest.hpp"

namespace waxwingvalve::decision::retries
{

enum class poison_verdict : std::uint8_t
{
    // Nothing speaks against the request.
    clear,
    // May run only with a worker to itself, one copy at a time.
    run_alone,
    // It runs alone now; this copy has to wait.
    wait,
    refuse,
};

// Invariant: holds at most `most_digests`; each is forgotten `kept_for` after
// its last death.
class poison_table
{
public:
    static constexpr std::size_t most_digests = 256;
    static constexpr std::size_t most_published = 32;
    static constexpr std::uint32_t deaths_to_refuse = 2;
    static constexpr base::duration kept_for = std::chrono::minutes{10};

    // `told` counts the deaths that other daemons report for the digest.
    // A caller that is told run_alone must end with ran_alone or
    // worker_died, or give_up when it did not run.
    poison_verdict admit(
        request_digest digest, std::uint32_t told, base::instant now);

    // A worker died; `running` are the digests that ran on it.
    void worker_died(
        std::span<const request_digest> running, base::instant now);

    // The whole answer came from a worker that ran nothing else.
    void ran_alone(request_digest digest);

    // The trial ended without a verdict.
    void give_up(request_digest digest);

    // Digests that killed a worker which ran nothing else, once for each
    // death that counts.
    std::vector<request_digest> published(base::instant now) const;

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        std::uint32_t deaths{};
        // Deaths with nothing else running; these alone prove anything.
        std::uint32_t deaths_alone{};
        bool trial_runs{};
        base::instant last_death{};
    };

    void forget(base::instant now);
    void make_room();

    std::map<request_digest, entry> entries_;
};

} // namespace waxwingvalve::decision::retries
