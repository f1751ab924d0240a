// What this daemon tells the others of the workers that it found to be cold, or
// no longer.
//
// Each worker is told of at once, and again from time to time while it stays
// cold: datagrams get lost, and daemons start. What is only assumed is told
// again by those that find it again.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.hpp"
#include "decision/steering/cold_time.hpp"
#include "schema/fleet.hpp"

namespace waxwingvalve::decision::steering
{

class cold_news
{
public:
    static constexpr base::duration repeat_interval{
        std::chrono::milliseconds{1'000}};
    // That a worker isn't cold is told twice, this far apart.
    static constexpr base::duration warm_repeat_interval{
        std::chrono::milliseconds{200}};
    static constexpr int warm_repeats = 2;

    // The worker of this incarnation digest is cold. Replaces what was
    // recorded before.
    void record(std::uint64_t worker, const cold_statement& said);
    // The worker, which was assumed to be cold, is not.
    void record_warm(std::uint64_t worker, const cold_statement& said);

    // The worker has answered a request that was sent at `since`: what was
    // assumed of it before holds no more.
    void drop_assumption(std::uint64_t worker, base::instant since);

    // Returns what is to be told now.
    std::vector<schema::cold_worker> take(base::instant now);

private:
    struct told_worker
    {
        cold_statement said{};
        // When the others were told last, and from which source.
        base::instant told_at{};
        cold_source told_as{};
        // Recorded since it was told last.
        bool fresh{true};
        // How often it is still told that the worker is not cold.
        int warm_repeats_left{0};
    };

    static bool due(const told_worker& one, base::instant now);

    std::map<std::uint64_t, told_worker> workers_;
};

} // namespace waxwingvalve::decision::steering
