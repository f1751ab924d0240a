#include "daemon/serving/attempt_rules.hpp"

#include "base/log.hpp"

namespace waxwingvalve::daemon::serving
{

using std::chrono::milliseconds;

namespace
{

// How lately a kept connection must have been heard of before it carries a
// request: something in between forgets an idle one without telling.
constexpr milliseconds look_up_proven_within{2'000};
constexpr milliseconds filing_proven_within{200};

} // namespace

exchange_options options_for(bool idempotent)
{
    return {
        .proven_within =
            idempotent ? look_up_proven_within : filing_proven_within};
}

base::endpoint address_of(const placed& where)
{
    if (const auto* hold = std::get_if<slot_hold>(&where))
    {
        return hold->pool()->address();
    }
    return std::get<peer_target>(where).caller_address;
}

void log_further(
    std::string_view service,
    const base::endpoint& chosen,
    std::size_t number,
    std::string_view why)
{
    base::log_event(
        base::log_level::info,
        base::log_channel::serving,
        "decision",
        "kind",
        "attempt",
        "service",
        service,
        "chosen",
        base::to_string(chosen),
        "number",
        number,
        "why",
        why);
}

} // namespace waxwingvalve::daemon::serving
