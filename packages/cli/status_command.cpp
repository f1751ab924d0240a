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

std::string one_status(const base::endpoint& daemon)
{
    const auto answer = net::fetch_blocking(
        daemon, {.method = "GET", .target = "/v1/status"}, status_timeout);
    if (!answer)
    {
        return "unreachable " + to_string(answer.error().reason);
    }
    boost::system::error_code failure;
    const auto parsed = boost::json::parse(answer.value().body, failure);
    const auto* status = parsed.if_object();
    if (failure || status == nullptr)
    {
        return "unreadable";
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
    return out;
}

} // namespace

std::string all_statuses(std::span<const base::endpoint> daemons)
{
    std::string out;
    for (const auto& daemon : daemons)
    {
        out += fmt::format("{} {}\n", to_string(daemon), one_status(daemon));
    }
    return out;
}

} // namespace waxwingvalve::cli
