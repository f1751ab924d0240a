#include "daemon/configuration_page.hpp"

#include <charconv>

#include <fmt/format.h>

#include "daemon/serving/answers.hpp"
#include "decision/records/adoption.hpp"

namespace waxwingvalve::daemon
{
namespace
{

using decision::records::revision;

constexpr std::string_view configuration_path = "/v1/configuration";
constexpr std::string_view hint_path = "/v1/configuration/hint";

revision revision_in(std::string_view target, std::string_view name)
{
    const auto text = net::query_value(target, name).value_or("");
    revision out{};
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

std::optional<net::http_response> answer_configuration(
    const net::http_request& request,
    const decision::records::configuration& in_force,
    const hint_receiver& receive)
{
    const auto path = net::path_of(request.target);
    if (path == hint_path)
    {
        receive(
            {net::query_value(request.target, "from").value_or(""),
             revision_in(request.target, "revision")});
        return serving::make_json("{}");
    }
    if (path == configuration_path)
    {
        return serving::make_json(to_json(decision::records::changes_after(
            in_force, revision_in(request.target, "after"))));
    }
    return std::nullopt;
}

std::string configuration_target(revision after)
{
    return fmt::format("{}?after={}", configuration_path, after);
}

std::string hint_target(const configuration_hint& hint)
{
    return fmt::format(
        "{}?from={}&revision={}",
        hint_path,
        net::percent_encode(hint.from),
        hint.revision);
}

} // namespace waxwingvalve::daemon
