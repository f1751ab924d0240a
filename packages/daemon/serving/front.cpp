#include "daemon/serving/front.hpp"

#include <charconv>

#include <fmt/format.h>

#include "base/log.hpp"
#include "daemon/serving/answers.hpp"
#include "daemon/serving/entries.hpp"
#include "decision/routing/operations.hpp"
#include "net/http_client.hpp"

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;
using base::result_code;
using std::chrono::milliseconds;

namespace
{

constexpr std::string_view service_field = "Waxwing-Service";
constexpr std::string_view deadline_field = "Waxwing-Deadline-Ms";
constexpr std::string_view attempt_field = "Waxwing-Attempt";
constexpr std::string_view passed_field = "Waxwing-Passed-By";
constexpr std::string_view key_field = "Idempotency-Key";

// How lately a kept connection must have been heard of before it carries a
// request: something in between forgets an idle one without telling.
constexpr milliseconds look_up_proven_within{30'000};
constexpr milliseconds filing_proven_within{200};

std::optional<milliseconds> read_deadline(std::string_view text)
{
    std::int64_t value{};
    const auto* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc{} || stop != end || value < 0)
    {
        return std::nullopt;
    }
    return milliseconds{value};
}

} // namespace

// One request on its way through this daemon.
struct front::job
{
    net::http_request request{};
    std::string service{};
    decision::routing::matched_operation operation{};
    base::instant deadline{};
    bool passed{};
};

front::front(
    const schema::daemon_settings& settings, placement& places, figures& counts)
    : settings_{settings}, places_{places}, counts_{counts}
{
}

std::string front::next_attempt_id()
{
    return fmt::format("{}-{}", settings_.name, ++attempts_);
}

std::optional<net::http_response> front::answer_now(const net::http_request& in)
{
    if (net::path_of(in.target) == "/v1/entries" && in.method == "GET")
    {
        counts_.look_ups.fetch_add(1, std::memory_order_relaxed);
        return answer_entries(in, places_, settings_);
    }
    if (!net::find_field(in.fields, service_field))
    {
        return make_refusal(
            {result_code::path_unknown, std::string{net::path_of(in.target)}},
            outcome::not_run);
    }
    return std::nullopt;
}

base::result<front::job> front::accept(net::http_request&& in) const
{
    job work;
    work.service = net::find_field(in.fields, service_field).value_or("");
    const auto* service = places_.in_force().find_service(work.service);
    if (service == nullptr)
    {
        return base::fail(result_code::service_unknown, work.service);
    }
    work.operation = decision::routing::match_operation(
        *service, in.method, net::path_of(in.target));
    auto time_left = work.operation.deadline;
    if (const auto text = net::find_field(in.fields, deadline_field))
    {
        const auto asked = read_deadline(*text);
        if (!asked)
        {
            return base::fail(
                result_code::deadline_invalid, std::string{*text});
        }
        time_left = *asked;
    }
    work.deadline = base::monotonic_clock::now() + time_left;
    if (!work.operation.idempotent && !net::find_field(in.fields, key_field))
    {
        return base::fail(result_code::key_missing);
    }
    work.passed = net::find_field(in.fields, passed_field).has_value();
    work.request = std::move(in);
    return work;
}

asio::awaitable<std::optional<net::http_response>> front::serve(
    net::http_request in)
{
    counts_.requests.fetch_add(1, std::memory_order_relaxed);
    auto work = accept(std::move(in));
    if (!work)
    {
        counts_.refused.fetch_add(1, std::memory_order_relaxed);
        co_return make_refusal(work.error(), outcome::not_run);
    }
    co_return co_await run(work.value());
}

asio::awaitable<net::http_response> front::run(job& work)
{
    auto where = places_.place(work.service, !work.passed);
    if (auto* hold = std::get_if<slot_hold>(&where))
    {
        co_return co_await run_here(work, std::move(*hold));
    }
    if (const auto* peer = std::get_if<const schema::peer_settings*>(&where))
    {
        counts_.passed_to_peers.fetch_add(1, std::memory_order_relaxed);
        co_return co_await pass_on(work, **peer);
    }
    counts_.refused.fetch_add(1, std::memory_order_relaxed);
    co_return make_refusal(std::get<base::error>(where), outcome::not_run);
}

asio::awaitable<net::http_response> front::run_here(job& work, slot_hold hold)
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

asio::awaitable<net::http_response> front::pass_on(
    job& work, const schema::peer_settings& peer)
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
