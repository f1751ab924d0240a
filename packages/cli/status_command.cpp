#include "cli/status_command.hpp"

#include <chrono>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "net/http_client.hpp"

namespace waxwingvalve::cli
{
namespace
{

constexpr std::chrono::seconds status_timeout{1};

struct daemon_status
{
    std::string text{};
    boost::json::object value{};
};

daemon_status query_status(const base::endpoint& daemon)
{
    const auto answer = net::fetch_blocking(
        daemon, {.method = "GET", .target = "/v1/status"}, status_timeout);
    if (!answer)
    {
        return {
            "unreachable " + to_string(answer.error().reason),
            {{"unreachable", to_string(answer.error().reason)}}};
    }
    boost::system::error_code failure;
    const auto parsed = boost::json::parse(answer.value().body, failure);
    const auto* status = parsed.if_object();
    if (failure || status == nullptr)
    {
        return {"unreadable", {{"unreadable", true}}};
    }
    std::string out;
    for (const auto& [key, value] : *status)
    {
        out += fmt::format(
            "{}{}={}",
            out.empty() ? "" : " ",
            std::string_view{key},
            boost::json::serialize(value));
    }
    return {out, *status};
}

} // namespace

command_output query_statuses(std::span<const base::endpoint> daemons)
{
    command_output out;
    boost::json::array list;
    for (const auto& daemon : daemons)
    {
        auto one = query_status(daemon);
        out.text += fmt::format("{} {}\n", to_string(daemon), one.text);
        one.value["asked"] = to_string(daemon);
        list.push_back(std::move(one.value));
    }
    out.json = std::move(list);
    return out;
}

} // namespace waxwingvalve::cli
