// State machine for the graceful shutdown of this daemon.
//
// Callers cache the list of entries, so a stopping entry is first removed from
// the list and keeps serving for the lifetime of a cached list. It then accepts
// no more connections and ends when no request runs. Request deadlines bound
// this last phase.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.hpp"

namespace waxwingvalve::decision::drains
{

enum class stop_phase : std::uint8_t
{
    serving,
    // No longer listed; still serves callers with a cached list.
    lingering,
    // Accepts no more connections; running requests complete.
    finishing,
    ended,
};

// Invariant: phases only advance, in the order of stop_phase.
class planned_stop
{
public:
    // Starts the shutdown. `list_lifetime` is how long callers may use a
    // cached list of entries. Further calls have no effect.
    void begin(base::instant now, base::duration list_lifetime);

    // Updates and returns the phase at `now` with `running` requests in
    // progress.
    stop_phase advance(base::instant now, std::size_t running);

    stop_phase phase() const { return phase_; }

private:
    stop_phase phase_{stop_phase::serving};
    base::instant linger_until_{};
};

} // namespace waxwingvalve::decision::drains
