// Detects requests that crash the workers that run them.
//
// Every daemon sends to every worker, so a suspicious request cannot be tried
// on a worker reserved for it, as retries/poison_table does where each worker
// has one owner. Repetition is the evidence instead: a request counts as
// poisonous after crashes of several workers, one after the other, with no
// answer in between.
//
// To a daemon, a worker whose path is cut looks like one that crashed, and all
// daemons see the same crash. Hence a crash counts only if the request was sent
// after the crashes before it, and once for each incarnation of a worker. An
// answer from any worker refutes all crashes of runs that began before it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.hpp"
#include "decision/steering/worker_crash.hpp"

namespace waxwingvalve::decision::steering
{

class crash_tracker
{
public:
    // Crashes in a row after which a request is refused.
    static constexpr std::size_t refusal_threshold = 3;
    static constexpr std::size_t max_digests = 512;
    static constexpr base::duration retention_time{std::chrono::minutes{10}};

    // Records a crash; returns true if it counts. The times of a crash that
    // another daemon saw may be late by the time of its message's way.
    bool record_crash(const worker_crash& crash);

    // Records that a worker answered the request now. Returns the event to
    // gossip to other daemons if the request was suspected.
    std::optional<suspect_answer> record_answer(
        request_digest digest, base::instant now);

    // Records an answer that another daemon received.
    void record_remote_answer(const suspect_answer& answer);

    bool is_poisonous(request_digest digest) const;
    std::size_t size() const { return suspicions_.size(); }

private:
    // Invariant: the runs of `crashes` do not overlap, their workers differ,
    // and all began after `answered_at`.
    struct suspicion
    {
        std::vector<worker_crash> crashes{};
        base::instant answered_at{base::instant::min()};
        base::instant updated_at{};
    };

    suspicion& suspicion_of(request_digest digest, base::instant now);
    void evict_old(base::instant now);

    std::map<request_digest, suspicion> suspicions_;
};

} // namespace waxwingvalve::decision::steering
