#include "base/result.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace waxwingvalve::base
{
namespace
{

constexpr auto table = std::to_array<code_description>({
#define WAXWINGVALVE_CODE(number, name, exit_status, message)                  \
    {result_code::name, #name, message, exit_status},
#include "base/result_codes.def"
#undef WAXWINGVALVE_CODE
});

} // namespace

const code_description& describe(result_code code)
{
    const auto found = std::ranges::find(table, code, &code_description::code);
    return found != table.end() ? *found : table.back();
}

std::string to_string(const error& failure)
{
    const auto& row = describe(failure.code);
    auto text =
        fmt::format("{} {}: {}", number(row.code), row.name, row.message);
    if (!failure.detail.empty())
    {
        text += fmt::format(" ({})", failure.detail);
    }
    return text;
}

} // namespace waxwingvalve::base
