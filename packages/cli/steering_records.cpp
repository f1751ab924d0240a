#include "cli/steering_records.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include <boost/algorithm/string/split.hpp>
#include <boost/json.hpp>

#include "base/number.hpp"

namespace waxwingvalve::cli
{
namespace
{

namespace json = boost::json;
using base::fail;
using base::result_code;

json::array split_names(const std::string& text)
{
    std::vector<std::string> names;
    boost::algorithm::split(names, text, [](char c) { return c == ','; });
    json::array list;
    for (const auto& name : names)
    {
        list.emplace_back(name);
    }
    return list;
}

} // namespace

base::result<std::string> make_shift_record(
    std::span<const std::string> operands)
{
    constexpr std::size_t operand_count = 4;
    const auto percent = base::parse_number<std::uint32_t>(
        operands.empty() ? "" : operands.back());
    if (operands.size() != operand_count || !percent)
    {
        return fail(
            result_code::command_line_invalid,
            "expected SERVICE FROM[,FROM] TO[,TO] PERCENT, or retire NAME");
    }
    return json::serialize(json::object{
        {"kind", "shift"},
        {"schema_version", 2},
        {"name", operands[0]},
        {"service", operands[0]},
        {"from_zones", split_names(operands[1])},
        {"to_zones", split_names(operands[2])},
        {"percent", *percent}});
}

base::result<std::string> make_drain_record(
    std::span<const std::string> operands)
{
    constexpr std::array<std::string_view, 3> kinds{"worker", "entry", "zone"};
    if (operands.size() != 2 ||
        std::ranges::find(kinds, operands[0]) == kinds.end())
    {
        return fail(
            result_code::command_line_invalid,
            "expected worker|entry|zone TARGET, or retire NAME");
    }
    return json::serialize(json::object{
        {"kind", "drain"},
        {"schema_version", 1},
        {"name", operands[0] + "-" + operands[1]},
        {"target_kind", operands[0]},
        {"target", operands[1]}});
}

base::result<std::string> make_retired_record(std::string_view text)
{
    boost::system::error_code failure;
    auto parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
    {
        return fail(result_code::record_malformed, "expected a JSON object");
    }
    parsed.get_object()["retired"] = true;
    return json::serialize(parsed);
}

} // namespace waxwingvalve::cli
