#include "daemon/serving/attempts.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "net/http_client.hpp"

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;
using base::result_code;
using std::chrono::milliseconds;

namespace
{

// How lately a kept connection must have been heard of before it carries a
// request: something in between forgets an idle one without telling.
constexpr milliseconds look_up_proven_within{30'000};
constexpr milliseconds filing_proven_within{200};
// Peers asked one after the other when each turns out to have no room.
constexpr std::size_t most_peers_tried = 2;
constexpr std::array not_admitted_codes{
    result_code::no_room,
    result_code::paused,
    result_code::leaving,
    result_code::connect_failed};

finished failed(const net::exchange_failure& failure)
{
    const bool may_have_run =
        failure.progress == net::exchange_progress::maybe_sent;
    return refuse(
        failure.reason, may_have_run ? outcome::unknown : outcome::not_run);
}

bool echoes(const net::http_response& answer, std::string_view attempt)
{
    return net::find_field(answer.fields, attempt_field) == attempt;
}

// An upstream refuses a request that it did not run by this status and
// outcome. Only the echoed attempt makes the refusal that of this attempt.
bool shed(const net::http_response& answer)
{
    constexpr unsigned unavailable = 503;
    return answer.status == unavailable &&
           net::find_field(answer.fields, outcome_field) ==
               to_string(outcome::not_run);
}

// The peer had no room, took nothing, or could not be connected to.
bool was_not_admitted(const finished& from)
{
    const auto code = net::find_field(from.answer.fields, code_field);
    return from.what == outcome::not_run &&
           std::ranges::any_of(
               not_admitted_codes,
               [&](result_code one)
               { return code == fmt::format("{:04}", base::number(one)); });
}

// What a worker's whole answer means.
finished judge(net::http_response answer, std::string_view attempt)
{
    if (!echoes(answer, attempt))
    {
        return refuse({result_code::answer_mismatched}, outcome::unknown);
    }
    if (shed(answer))
    {
        return refuse({result_code::shed_by_upstream}, outcome::not_run);
    }
    // These two fields are the system's own: an upstream that sets them must
    // not speak in its name.
    net::remove_field(answer.fields, outcome_field);
    net::remove_field(answer.fields, code_field);
    return {outcome::done, std::move(answer)};
}

// What a peer's whole answer means: without an outcome of the peer's own it
// is the upstream's answer.
finished judge_peer(net::http_response answer, std::string_view attempt)
{
    if (!echoes(answer, attempt))
    {
        return refuse({result_code::answer_mismatched}, outcome::unknown);
    }
    const auto said = net::find_field(answer.fields, outcome_field);
    auto what = outcome::unknown;
    if (!said || said == to_string(outcome::done))
    {
        what = outcome::done;
    }
    else if (said == to_string(outcome::not_run))
    {
        what = outcome::not_run;
    }
    return {what, std::move(answer)};
}

} // namespace

attempts::attempts(
    const schema::daemon_settings& settings, placement& places, figures& counts)
    : settings_{settings}, places_{places}, counts_{counts}
{
}

std::string attempts::next_attempt_id()
{
    return fmt::format("{}-{}", settings_.name, ++last_attempt_);
}

asio::awaitable<finished> attempts::run(job& work)
{
    place_request asked{
        .service = work.service,
        .priority = work.operation.priority,
        .passed = work.passed,
        .deadline = work.deadline};
    while (true)
    {
        auto where = co_await places_.place_in_time(asked);
        if (auto* hold = std::get_if<slot_hold>(&where))
        {
            co_return co_await run_here(work, std::move(*hold));
        }
        if (const auto* refused = std::get_if<base::error>(&where))
        {
            counts_.refused.fetch_add(1, std::memory_order_relaxed);
            co_return refuse(*refused, outcome::not_run);
        }
        const auto& peer = std::get<peer_target>(where);
        counts_.passed_to_peers.fetch_add(1, std::memory_order_relaxed);
        auto out = co_await pass_on(work, peer);
        if (!was_not_admitted(out))
        {
            co_return out;
        }
        // The view of the peer was old; it ran nothing.
        places_.note_peer_refused(peer.name, work.service);
        net::remove_field(work.request.fields, passed_field);
        asked.avoid.push_back(peer.caller_address);
        asked.may_pass = asked.avoid.size() < most_peers_tried;
    }
}

asio::awaitable<finished> attempts::run_here(job& work, slot_hold hold)
{
    const auto attempt = next_attempt_id();
    const auto left = work.deadline - base::monotonic_clock::now();
    auto& fields = work.request.fields;
    net::set_field(fields, attempt_field, attempt);
    net::set_field(
        fields, deadline_field, fmt::format("{}", base::to_milliseconds(left)));
    const auto proven_within = work.operation.idempotent ? look_up_proven_within
                                                         : filing_proven_within;
    auto answer = co_await hold.pool().exchange(
        work.request, work.deadline, proven_within);
    if (!answer)
    {
        co_return failed(answer.error());
    }
    co_return judge(std::move(answer).value(), attempt);
}

asio::awaitable<finished> attempts::pass_on(job& work, const peer_target& peer)
{
    const auto left = work.deadline - base::monotonic_clock::now();
    auto& fields = work.request.fields;
    const auto attempt = next_attempt_id();
    net::set_field(fields, attempt_field, attempt);
    net::set_field(fields, passed_field, settings_.name);
    net::set_field(
        fields, deadline_field, fmt::format("{}", base::to_milliseconds(left)));
    auto answer =
        co_await net::fetch(peer.caller_address, work.request, work.deadline);
    if (!answer)
    {
        co_return failed(answer.error());
    }
    co_return judge_peer(std::move(answer).value(), attempt);
}

} // namespace waxwingvalve::daemon::serving
