#include "daemon/serving/front.hpp"

#include <charconv>

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
    std::int64_t value{};
    const auto* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc{} || stop != end || value < 0)
    {
        return std::nullopt;
    }
    return milliseconds{value};
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
    const schema::daemon_settings& settings, placement& places, figures& counts)
    : settings_{settings}, places_{places}, counts_{counts}, attempts_{
                                                                 settings,
                                                                 places,
                                                                 counts}
{
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

base::result<job> front::accept(net::http_request&& in) const
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
    const auto asked_as = attempt_of(in);
    auto work = accept(std::move(in));
    if (!work)
    {
        counts_.refused.fetch_add(1, std::memory_order_relaxed);
        auto refusal = make_refusal(work.error(), outcome::not_run);
        co_return echo(std::move(refusal), asked_as);
    }
    auto ended = co_await attempts_.run(work.value());
    co_return echo(std::move(ended.answer), asked_as);
}

} // namespace waxwingvalve::daemon::serving
