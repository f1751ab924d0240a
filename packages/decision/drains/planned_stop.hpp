// The steps of a planned stop of this daemon.
//
// Callers cache the list of entries, so an entry that stops is first named
// nowhere, goes on serving for as long as a cached list may live, then takes
// no more connections, and ends when nothing runs. A request that never ends
// is cut by its own deadline, which bounds the last step.
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
    // Named nowhere, serves on for those who cached its name.
    lingering,
    // Takes no more connections, finishes what runs.
    finishing,
    ended,
};

// Invariant: phases follow one another in their order and never go back.
class planned_stop
{
public:
    // `list_lifetime`: how long a list that named this entry may be used
    // after it was given out. Begun twice, the first begin counts.
    void begin(base::instant now, base::duration list_lifetime);

    // The phase that holds at `now` with `running` requests in progress.
    stop_phase advance(base::instant now, std::size_t running);

    stop_phase phase() const { return phase_; }

private:
    stop_phase phase_{stop_phase::serving};
    base::instant linger_until_{};
};

} // namespace waxwingvalve::decision::drains
