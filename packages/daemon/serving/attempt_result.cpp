#include "daemon/serving/attempt_result.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "daemon/serving/job.hpp"

namespace waxwingvalve::daemon::serving
{

using base::result_code;

namespace
{

constexpr unsigned status_unavailable = 503;

bool echoes(const net::http_response& answer, std::string_view attempt)
{
    return net::find_field(answer.fields, attempt_field) == attempt;
}

// An upstream refuses a request that it did not run by this status and
// outcome. Only the echoed attempt makes the refusal that of this attempt.
bool shed(const net::http_response& answer)
{
    return answer.status == status_unavailable &&
           net::find_field(answer.fields, outcome_field) ==
               to_string(outcome::not_run);
}

// Failures that another worker may not share.
bool worth_another_worker(unsigned status)
{
    constexpr std::array<unsigned, 4> statuses{500, 502, 503, 504};
    return std::ranges::find(statuses, status) != statuses.end();
}

attempt_result mismatched()
{
    return {
        refuse({result_code::answer_mismatched}, outcome::unknown),
        next_step::repeat,
        true};
}

bool said(const net::http_response& answer, result_code code)
{
    return net::find_field(answer.fields, code_field) ==
           fmt::format("{:04}", base::number(code));
}

// A peer refuses with these when another daemon may still take the request.
bool refused_for_room(const net::http_response& answer)
{
    constexpr std::array<result_code, 8> codes{
        result_code::connect_failed,
        result_code::no_room,
        result_code::no_upstream,
        result_code::cap_reached,
        result_code::shed_by_upstream,
        result_code::overloaded,
        result_code::leaving,
        result_code::paused};
    return std::ranges::any_of(
        codes, [&](result_code code) { return said(answer, code); });
}

} // namespace

attempt_result judge_failure(const net::exchange_failure& failure)
{
    if (failure.progress == net::exchange_progress::nothing_sent)
    {
        return {
            refuse(failure.reason, outcome::not_run),
            next_step::place_elsewhere,
            false};
    }
    const bool late = failure.reason.code == result_code::deadline_passed;
    return {
        refuse(failure.reason, outcome::unknown),
        late ? next_step::none : next_step::repeat,
        true};
}

attempt_result judge_answer(net::http_response answer, std::string_view attempt)
{
    if (!echoes(answer, attempt))
    {
        return mismatched();
    }
    if (shed(answer))
    {
        return {
            refuse({result_code::shed_by_upstream}, outcome::not_run),
            next_step::place_elsewhere,
            true};
    }
    // These two fields are the system's own: an upstream that sets them must
    // not speak in its name.
    net::remove_field(answer.fields, outcome_field);
    net::remove_field(answer.fields, code_field);
    const bool failed = worth_another_worker(answer.status);
    return {
        {outcome::done, std::move(answer)},
        failed ? next_step::repeat : next_step::none,
        true};
}

attempt_result judge_peer_answer(
    net::http_response answer, std::string_view attempt)
{
    if (!echoes(answer, attempt))
    {
        return mismatched();
    }
    const auto claimed = net::find_field(answer.fields, outcome_field);
    if (!claimed || claimed == to_string(outcome::done))
    {
        const bool failed = worth_another_worker(answer.status);
        return {
            {outcome::done, std::move(answer)},
            failed ? next_step::repeat : next_step::none,
            true};
    }
    if (claimed == to_string(outcome::not_run))
    {
        const bool elsewhere = refused_for_room(answer);
        const bool load = said(answer, result_code::shed_by_upstream);
        return {
            {outcome::not_run, std::move(answer)},
            elsewhere ? next_step::place_elsewhere : next_step::none,
            load};
    }
    // Whoever saw a worker die runs what ran there alone from then on;
    // another daemon that knows nothing of it must not be next.
    const bool final = said(answer, result_code::worker_died) ||
                       said(answer, result_code::deadline_passed);
    return {
        {outcome::unknown, std::move(answer)},
        final ? next_step::none : next_step::repeat,
        true};
}

} // namespace waxwingvalve::daemon::serving
