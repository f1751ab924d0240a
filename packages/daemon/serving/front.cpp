#include "daemon/serving/front.hpp"

#include <algorithm>

#include "base/number.hpp"
#include "daemon/serving/answers.hpp"
#include "daemon/serving/entries.hpp"
#include "decision/routing/operations.hpp"

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;
using base::result_code;
using std::chrono::milliseconds;

namespace
{

std::optional<milliseconds> read_deadline(std::string_view text)
{
    const auto value = base::parse_number<std::int64_t>(text);
    if (!value || *value < 0)
    {
        return std::nullopt;
    }
    return milliseconds{*value};
}

// The attempt id that the asking peer gave; empty without one.
std::string attempt_of(const net::http_request& in)
{
    return std::string{net::find_field(in.fields, attempt_field).value_or("")};
}

// Attempt ids belong to one hop: the asker gets its own back, not that of the
// attempt at the upstream.
net::http_response echo(net::http_response answer, const std::string& attempt)
{
    net::remove_field(answer.fields, attempt_field);
    if (!attempt.empty())
    {
        net::set_field(answer.fields, attempt_field, attempt);
    }
    return answer;
}

} // namespace

front::front(
    asio::any_io_executor executor,
    const schema::daemon_settings& settings,
    placement& places,
    figures& counts,
    std::uint64_t incarnation)
    : settings_{settings}, places_{places}, counts_{counts},
      attempts_{settings, places, counts},
      filings_{std::move(executor), settings, places, attempts_, incarnation}
{
}

std::optional<net::http_response> front::answer_now(const net::http_request& in)
{
    if (net::path_of(in.target) == "/v1/entries" && in.method == "GET")
    {
        counts_.look_ups.fetch_add(1, std::memory_order_relaxed);
        return answer_entries(in, places_, settings_, filings_.key_prefix());
    }
    if (!net::find_field(in.fields, service_field))
    {
        return filings_.refuse_early(
            in,
            {result_code::path_unknown, std::string{net::path_of(in.target)}});
    }
    return std::nullopt;
}

net::http_response front::refuse_unread(const base::error& reason)
{
    // The key, if there was one, may have run by an earlier copy.
    return make_refusal(reason, outcome::unknown);
}

// True when a daemon that is known here passed the request on. The field from
// anyone else counts for nothing: it would lead around the ledger.
bool front::passed_by_peer(const net::http_request& in) const
{
    const auto by = net::find_field(in.fields, passed_field);
    const auto& members = places_.members().members;
    return by && std::ranges::any_of(
                     members,
                     [&](const auto& one) { return one.report.name == *by; });
}

base::result<job> front::accept(const net::http_request& in) const
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
        // The operation's own deadline is the most that it may run: whoever
        // takes a worker over counts on that.
        time_left = std::min(time_left, *asked);
    }
    work.deadline = base::monotonic_clock::now() + time_left;
    if (!work.operation.idempotent && !net::find_field(in.fields, key_field))
    {
        return base::fail(result_code::key_missing);
    }
    work.passed = passed_by_peer(in);
    return work;
}

asio::awaitable<std::optional<net::http_response>> front::serve(
    net::http_request in)
{
    counts_.requests.fetch_add(1, std::memory_order_relaxed);
    const auto asked_as = attempt_of(in);
    auto work = accept(in);
    if (!work)
    {
        counts_.refused.fetch_add(1, std::memory_order_relaxed);
        // A daemon that passed a request on judges its key itself.
        auto refusal = passed_by_peer(in)
                           ? make_refusal(work.error(), outcome::not_run)
                           : filings_.refuse_early(in, work.error());
        co_return echo(std::move(refusal), asked_as);
    }
    work.value().request = std::move(in);
    const bool direct =
        work.value().operation.idempotent || work.value().passed;
    if (!direct)
    {
        auto answer = co_await filings_.serve(std::move(work).value());
        co_return echo(std::move(answer), asked_as);
    }
    auto ended = co_await attempts_.run(work.value());
    co_return echo(std::move(ended.answer), asked_as);
}

} // namespace waxwingvalve::daemon::serving
