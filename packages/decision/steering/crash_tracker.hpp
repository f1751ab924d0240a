// Detects requests that crash the workers that run them.
//
// Every daemon sends to every worker, so a suspicious request cannot be tried
// on a worker reserved for it, as retries/poison_table does where each worker
// has one owner. Repetition is the evidence instead: a request counts as
// poisonous after several crashes in a row, each in a run that was sent after
// the previous crash, with no answer in between.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.hpp"
#include "decision/retries/request_digest.hpp"

namespace waxwingvalve::decision::steering
{

using retries::request_digest;

class crash_tracker
{
public:
    // Crashes in a row after which a request is refused.
    static constexpr std::uint32_t refusal_threshold = 3;
    static constexpr std::size_t max_digests = 512;
    static constexpr base::duration retention_time{std::chrono::minutes{10}};

    // Records that a worker crashed while it ran the request, which was sent at
    // `began`. Returns true if the crash counts and should be gossiped to other
    // daemons.
    bool record_crash(
        request_digest digest, base::instant began, base::instant ended);

    // Records a crash that another daemon counted.
    void record_remote_crash(request_digest digest, base::instant now);

    // Clears the crashes of a request that a worker answered.
    void record_answer(request_digest digest);

    bool is_poisonous(request_digest digest) const;
    std::size_t size() const { return crashes_.size(); }

private:
    struct crash_count
    {
        std::uint32_t crashes{};
        base::instant last_crash{};
    };

    void evict_old(base::instant now);

    std::map<request_digest, crash_count> crashes_;
};

} // namespace waxwingvalve::decision::steering
