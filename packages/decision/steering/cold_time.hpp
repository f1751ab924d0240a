// For how long a worker stays cold, and how a daemon knows.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/time.hpp"

namespace waxwingvalve::decision::steering
{

enum class cold_source : std::uint8_t
{
    // The worker's entry in discovery.
    entry,
    // An answer of the worker.
    answer,
    // An evacuation of its zone, before which it may have become cold.
    evacuation,
    // Another daemon, which read it in an answer.
    peer,
    // Other workers of its zone have become cold, and it hasn't answered since;
    // or another daemon lost contact with it.
    assumed,
    // This daemon lost contact with it (contact_loss.hpp): it has ended, or may
    // have, and is cold once it has started again.
    refused,
    silent,
    reset,
};

// Whether it says so without a word of the worker itself.
bool is_assumption(cold_source source);
// Whether it is this daemon's own loss of contact.
bool is_lost_contact(cold_source source);

// Name for logs.
std::string_view name_of(cold_source source);

// What a source says of a worker's cold time.
struct cold_statement
{
    cold_source source{};
    // When it was so, at the earliest.
    base::instant since{};
    // End of the cold time. Not after `since` if the worker is not cold.
    base::instant until{};
};

// What is known of a worker.
//
// Statements overtake each other: an entry that is read after an outage of the
// store was written before it. An older one can make a cold time longer, but
// doesn't end it; an older assumption says nothing.
class cold_time
{
public:
    void apply(const cold_statement& said, base::instant now);

    // Another incarnation has taken the worker's place.
    void begin_again() { known_ = {}; }

    bool cold(base::instant now) const { return now < known_.until; }
    // The statement in force.
    const cold_statement& known() const { return known_; }
    // When the worker was first taken for cold, in the latest cold time.
    base::instant known_since() const { return known_since_; }
    // Whether it was known before, and taken for warm. Another incarnation gets
    // no more: requests of the same second may have gone to it already.
    bool was_warm() const { return was_warm_; }

private:
    void adopt(const cold_statement& said);

    cold_statement known_{};
    base::instant known_since_{};
    bool was_warm_{false};
    // Any statement has been applied.
    bool known_any_{false};
};

} // namespace waxwingvalve::decision::steering
