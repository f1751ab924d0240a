#include "decision/drains/planned_stop.hpp"

namespace waxwingvalve::decision::drains
{

void planned_stop::begin(base::instant now, base::duration list_lifetime)
{
    if (phase_ != stop_phase::serving)
    {
        return;
    }
    phase_ = stop_phase::lingering;
    linger_until_ = now + list_lifetime;
}

stop_phase planned_stop::advance(base::instant now, std::size_t running)
{
    if (phase_ == stop_phase::lingering && now >= linger_until_)
    {
        phase_ = stop_phase::finishing;
    }
    else if (phase_ == stop_phase::finishing && running == 0)
    {
        phase_ = stop_phase::ended;
    }
    return phase_;
}

} // namespace waxwingvalve::decision::drains
