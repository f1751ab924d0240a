#include "cli/view_commands.hpp"

#include <set>

namespace waxwingvalve::cli
{
namespace
{

namespace json = boost::json;

json::object parse_object(std::string_view text)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    return !failure && parsed.is_object() ? parsed.get_object()
                                          : json::object{};
}

void append_line(
    std::string& lines,
    std::string_view mark,
    std::string_view name,
    const json::value* value)
{
    if (value != nullptr)
    {
        lines +=
            fmt::format("{} {}: {}\n", mark, name, json::serialize(*value));
    }
}

} // namespace

std::string diff_records(std::string_view current, std::string_view proposed)
{
    const auto before = parse_object(current);
    const auto after = parse_object(proposed);
    std::set<std::string> names;
    for (const auto* side : {&before, &after})
    {
        for (const auto& [name, value] : *side)
        {
            names.emplace(name);
        }
    }
    std::string lines;
    for (const auto& name : names)
    {
        const auto* old_value = before.if_contains(name);
        const auto* new_value = after.if_contains(name);
        if (old_value != nullptr && new_value != nullptr &&
            *old_value == *new_value)
        {
            continue;
        }
        append_line(lines, "-", name, old_value);
        append_line(lines, "+", name, new_value);
    }
    return lines;
}

} // namespace waxwingvalve::cli
