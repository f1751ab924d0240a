#include "decision/steering/cold_time.hpp"

namespace waxwingvalve::decision::steering
{

std::string_view name_of(cold_source source)
{
    switch (source)
    {
    case cold_source::entry:
        return "entry";
    case cold_source::answer:
        return "answer";
    case cold_source::evacuation:
        return "evacuation";
    case cold_source::peer:
        return "peer";
    case cold_source::assumed:
        return "assumed";
    case cold_source::refused:
        return "refused";
    case cold_source::silent:
        return "silent";
    case cold_source::reset:
        return "reset";
    }
    return "unknown";
}

bool is_assumption(cold_source source)
{
    return source == cold_source::assumed || is_lost_contact(source);
}

bool is_lost_contact(cold_source source)
{
    return source == cold_source::refused || source == cold_source::silent ||
           source == cold_source::reset;
}

void cold_time::apply(const cold_statement& said, base::instant now)
{
    const bool was_cold = cold(now);
    adopt(said);
    if (!was_cold && cold(now))
    {
        known_since_ = now;
        was_warm_ = known_any_;
    }
    known_any_ = true;
}

void cold_time::adopt(const cold_statement& said)
{
    if (said.since >= known_.since)
    {
        known_ = said;
        return;
    }
    if (said.until > known_.until && !is_assumption(said.source))
    {
        known_.source = said.source;
        known_.until = said.until;
    }
}

} // namespace waxwingvalve::decision::steering
