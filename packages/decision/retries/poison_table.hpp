// Detects poison requests, which crash the workers that run them.
//
// When a worker dies, every request that ran on it becomes a suspect. A
// suspect runs next in a trial, alone on a worker. If that worker dies too, the
// request is refused from then on; if it answers, the request is cleared. This
// way no request is refused because of another one.
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
    // The request is not a suspect.
    clear,
    // The request may run only in a trial: alone on a worker, one copy at a
    // time.
    run_alone,
    // Another copy is in a trial now; this one has to wait.
    wait,
    // The request crashed enough workers to be refused.
    refuse,
};

// Invariant: holds at most `max_digests` entries; each expires `retention`
// after its last worker death.
class poison_table
{
public:
    static constexpr std::size_t max_digests = 256;
    static constexpr std::size_t max_published = 32;
    static constexpr std::uint32_t deaths_to_refuse = 2;
    static constexpr base::duration retention = std::chrono::minutes{10};

    // `reported_deaths` is the number of deaths that other daemons report
    // for the digest. After run_alone the caller must call clear_suspect,
    // worker_died, or cancel_trial if the trial gave no result.
    poison_verdict admit(
        request_digest digest,
        std::uint32_t reported_deaths,
        base::instant now);

    // Records a worker death; `running` are the digests that ran on it.
    void worker_died(
        std::span<const request_digest> running, base::instant now);

    // Clears a request that was answered completely in its trial.
    void clear_suspect(request_digest digest);

    // Ends a trial that gave no result.
    void cancel_trial(request_digest digest);

    // Digests that crashed a worker while running alone, repeated once for
    // each death, up to `deaths_to_refuse`.
    std::vector<request_digest> digests_to_publish(base::instant now) const;

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        std::uint32_t deaths{};
        // Deaths of workers that ran nothing else; only these prove that
        // the request is the cause.
        std::uint32_t deaths_alone{};
        bool trial_running{};
        base::instant last_death{};
    };

    void remove_expired(base::instant now);
    void evict_if_full();

    std::map<request_digest, entry> entries_;
};

} // namespace waxwingvalve::decision::retries
