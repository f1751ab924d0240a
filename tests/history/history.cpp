#include "history/history.hpp"

#include <map>

#include <boost/json.hpp>

namespace waxwingvalve::history
{
namespace
{

namespace json = boost::json;

using runs_by_key = std::map<std::string, std::vector<run_record>>;

runs_by_key group(std::span<const run_record> runs)
{
    runs_by_key out;
    for (const auto& run : runs)
    {
        if (!run.key.empty())
        {
            out[run.key].push_back(run);
        }
    }
    return out;
}

std::string field(const json::object& in, std::string_view name)
{
    const auto* value = in.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string{value->get_string()}
               : std::string{};
}

// The upstream stand-in answers with the request that it ran, as JSON.
std::optional<violation_kind> check_answer(const caller_record& call)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(call.answer, failure);
    if (failure || !parsed.is_object() || !parsed.as_object().contains("run"))
    {
        return violation_kind::answer_cut_short;
    }
    const auto& answer = parsed.as_object();
    const bool own = field(answer, "key") == call.key &&
                     field(answer, "method") == call.method &&
                     field(answer, "target") == call.target &&
                     field(answer, "body") == call.body;
    if (!own)
    {
        return violation_kind::answer_of_another_request;
    }
    return std::nullopt;
}

std::optional<violation_kind> check_call(
    const caller_record& call, const runs_by_key& runs)
{
    if (!call.status)
    {
        return std::nullopt;
    }
    const bool ran = runs.contains(call.key);
    if (call.outcome == "not-run")
    {
        return ran ? std::optional{violation_kind::refused_but_ran}
                   : std::nullopt;
    }
    if (call.outcome == "unknown")
    {
        return std::nullopt;
    }
    if (!call.key.empty() && !ran)
    {
        return violation_kind::done_but_never_ran;
    }
    // Done, but the answer was not kept: there is nothing to compare.
    return call.outcome == "done" ? std::nullopt : check_answer(call);
}

} // namespace

std::string_view to_string(violation_kind kind)
{
    switch (kind)
    {
    case violation_kind::ran_twice:
        return "a key ran twice";
    case violation_kind::refused_but_ran:
        return "a key refused as not run has run";
    case violation_kind::done_but_never_ran:
        return "a key answered as done never ran";
    case violation_kind::answer_of_another_request:
        return "an answer belongs to another request";
    case violation_kind::answer_cut_short:
        break;
    }
    return "an answer was cut short";
}

std::vector<violation> check(
    std::span<const caller_record> callers, std::span<const run_record> runs)
{
    std::vector<violation> out;
    const auto by_key = group(runs);
    for (const auto& [key, its_runs] : by_key)
    {
        if (its_runs.size() > 1)
        {
            out.push_back({violation_kind::ran_twice, key});
        }
    }
    for (const auto& call : callers)
    {
        if (const auto kind = check_call(call, by_key))
        {
            out.push_back({*kind, call.key});
        }
    }
    return out;
}

} // namespace waxwingvalve::history
