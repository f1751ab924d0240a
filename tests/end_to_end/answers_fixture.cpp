#include "end_to_end/answers_fixture.hpp"

#include <thread>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace waxwingvalve::harness
{

namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{

const std::string service_name{"lacquer-catalogue"};

caller_result to_result(
    const std::string& target, const net::exchange_result& got)
{
    caller_result out{.target = target};
    if (!got)
    {
        return out;
    }
    const auto& answer = got.value();
    const auto field = [&](std::string_view name)
    { return std::string{net::find_field(answer.fields, name).value_or("")}; };
    out.status = answer.status;
    out.code = field("Waxwing-Code");
    out.outcome = field("Waxwing-Outcome");
    boost::system::error_code failure;
    const auto body = json::parse(answer.body, failure);
    if (!failure && body.is_object() && body.as_object().contains("target"))
    {
        out.answered_target = body.at("target").as_string();
    }
    return out;
}

} // namespace

layout small_layout(int zones, int workers)
{
    layout out;
    out.name = "answers";
    for (int number = 1; number <= zones; ++number)
    {
        out.zones.push_back({"addis", fmt::format("addis-{}", number), 1});
    }
    out.services = {{service_name, workers, 4, "/filings"}};
    return out;
}

answers_cluster::answers_cluster(int zones, int workers, bool linked)
    : cluster{small_layout(zones, workers)}
{
    start_platform();
    start_upstreams();
    if (linked)
    {
        start_worker_links();
    }
    start_daemons();
    accept_layout();
}

void answers_cluster::set_shares(std::uint32_t retry, std::uint32_t hedge)
{
    auto record = json::parse(service_record(service_name)).as_object();
    record["retry_percent"] = retry;
    record["hedge_percentile"] = hedge;
    wait_for_revision(accept_record(json::serialize(record)));
}

caller_result answers_cluster::look_up(
    const base::endpoint& entry,
    const std::string& target,
    milliseconds deadline,
    bool crash) const
{
    net::http_request request{
        .method = "GET",
        .target = target,
        .fields = {
            {"Waxwing-Service", service_name},
            {"Waxwing-Deadline-Ms", std::to_string(deadline.count())}}};
    if (crash)
    {
        request.fields.push_back({"Waxwing-Test-Crash", "1"});
    }
    // The caller waits a little longer than it says.
    constexpr milliseconds patience{3000};
    const auto began = base::monotonic_clock::now();
    auto out = to_result(target, call(entry, request, deadline + patience));
    out.took = std::chrono::duration_cast<std::chrono::microseconds>(
        base::monotonic_clock::now() - began);
    return out;
}

caller_result answers_cluster::file(
    const base::endpoint& entry, const std::string& key) const
{
    return to_result(
        "/filings",
        call(
            entry,
            {.method = "POST",
             .target = "/filings",
             .fields =
                 {{"Waxwing-Service", service_name}, {"Idempotency-Key", key}},
             .body = key}));
}

std::vector<caller_result> answers_cluster::drive(const load& what) const
{
    std::vector<std::vector<caller_result>> of_caller(
        static_cast<std::size_t>(what.callers));
    std::vector<std::thread> threads;
    for (std::size_t caller = 0; caller < of_caller.size(); ++caller)
    {
        threads.emplace_back(
            [&, caller]
            {
                for (int number = 0; number < what.requests_each; ++number)
                {
                    of_caller[caller].push_back(look_up(
                        first_entry(),
                        fmt::format("/{}/{}/{}", what.name, caller, number),
                        what.deadline));
                }
            });
    }
    std::vector<caller_result> out;
    for (std::size_t caller = 0; caller < of_caller.size(); ++caller)
    {
        threads[caller].join();
        auto& own = of_caller[caller];
        out.insert(out.end(), own.begin(), own.end());
    }
    return out;
}

void answers_cluster::set_all_faults(const std::string& text) const
{
    for (const auto& one : workers())
    {
        set_faults(one.address, text);
    }
}

std::int64_t answers_cluster::sum(const std::string& name) const
{
    std::int64_t out = 0;
    for (const auto& one : workers())
    {
        const auto page = get_json(one.address, "/control");
        out +=
            page.contains(name) ? page.at(name).to_number<std::int64_t>() : 0;
    }
    return out;
}

std::vector<json::object> answers_cluster::runs() const
{
    std::vector<json::object> out;
    for (const auto& one : workers())
    {
        const auto page = get_json(one.address, "/control");
        for (const auto& run : page.at("runs").as_array())
        {
            out.push_back(run.as_object());
        }
    }
    return out;
}

} // namespace waxwingvalve::harness
