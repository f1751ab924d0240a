// Result codes and the result type that every fallible function returns.
//
// A code is a stable number that callers, operators and logs see; the detail
// says which value, file or address was at fault. docs/RESULT-CODES.md holds
// the table for readers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/outcome.hpp>

namespace waxwingvalve::base
{

enum class result_code : std::uint16_t
{
#define WAXWINGVALVE_CODE(number, name, exit_status, message) name = number,
#include "base/result_codes.def"
#undef WAXWINGVALVE_CODE
};

// What the table says of one code.
struct code_description
{
    result_code code{};
    std::string_view name;
    std::string_view message;
    // Exit status of the operators' client.
    int exit_status{};
};

// The row of the table for `code`; that of `internal` for an unlisted one.
const code_description& describe(result_code code);

inline std::uint16_t number(result_code code)
{
    return static_cast<std::uint16_t>(code);
}

// Why an operation failed. `detail` names the value at fault and may be empty.
struct error
{
    result_code code{};
    std::string detail{};
};

// "2007 service_unknown: no accepted record names this service (hire-desk)".
std::string to_string(const error& failure);

template <class T>
using result = boost::outcome_v2::checked<T, error>;

// Shorthand for `return fail(result_code::no_room, "hire-desk");`.
inline auto fail(result_code code, std::string detail = {})
{
    return boost::outcome_v2::failure(error{code, std::move(detail)});
}

inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace waxwingvalve::base
