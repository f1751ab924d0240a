#include "daemon/serving/attempts.hpp"

#include <fmt/format.h>

#include "daemon/serving/answers.hpp"
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

asio::awaitable<net::http_response> attempts::run(job& work)
{
    auto where = places_.place(work.service, !work.passed);
    if (auto* hold = std::get_if<slot_hold>(&where))
    {
        co_return co_await run_here(work, std::move(*hold));
    }
    if (const auto* peer = std::get_if<peer_target>(&where))
    {
        counts_.passed_to_peers.fetch_add(1, std::memory_order_relaxed);
        co_return co_await pass_on(work, *peer);
    }
    counts_.refused.fetch_add(1, std::memory_order_relaxed);
    co_return make_refusal(std::get<base::error>(where), outcome::not_run);
}

asio::awaitable<net::http_response> attempts::run_here(
    job& work, slot_hold hold)
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
        const bool may_have_run =
            answer.error().progress == net::exchange_progress::maybe_sent;
        co_return make_refusal(
            answer.error().reason,
            may_have_run ? outcome::unknown : outcome::not_run);
    }
    const auto echoed = net::find_field(answer.value().fields, attempt_field);
    if (echoed != attempt)
    {
        co_return make_refusal(
            {result_code::answer_mismatched}, outcome::unknown);
    }
    co_return std::move(answer).value();
}

asio::awaitable<net::http_response> attempts::pass_on(
    job& work, const peer_target& peer)
{
    const auto left = work.deadline - base::monotonic_clock::now();
    auto& fields = work.request.fields;
    net::set_field(fields, passed_field, settings_.name);
    net::set_field(
        fields, deadline_field, fmt::format("{}", base::to_milliseconds(left)));
    auto answer =
        co_await net::fetch(peer.caller_address, work.request, work.deadline);
    if (!answer)
    {
        const bool may_have_run =
            answer.error().progress == net::exchange_progress::maybe_sent;
        co_return make_refusal(
            answer.error().reason,
            may_have_run ? outcome::unknown : outcome::not_run);
    }
    co_return std::move(answer).value();
}

} // namespace waxwingvalve::daemon::serving
