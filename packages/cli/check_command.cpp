#include "cli/check_command.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include "schema/records.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::cli
{
namespace
{

bool has_member(std::string_view text, std::string_view name)
{
    boost::system::error_code failure;
    const auto parsed = boost::json::parse(text, failure);
    return !failure && parsed.is_object() && parsed.get_object().contains(name);
}

// Validates the text and describes its content. Errors: those of the parse
// functions.
base::result<std::string> check_text(std::string_view text)
{
    if (has_member(text, "kind"))
    {
        BOOST_OUTCOME_TRY(const auto record, schema::parse_record(text));
        return record.kind + ' ' + record.name;
    }
    if (has_member(text, "operator"))
    {
        BOOST_OUTCOME_TRY(
            const auto settings, schema::parse_operator_settings(text));
        return "settings of operator " + settings.operator_name;
    }
    BOOST_OUTCOME_TRY(const auto settings, schema::parse_daemon_settings(text));
    return "settings of daemon " + settings.name;
}

} // namespace

command_result check_file(const std::string& path)
{
    BOOST_OUTCOME_TRY(const auto text, schema::read_file(path));
    auto found = check_text(text);
    if (!found)
    {
        auto failure = found.error();
        failure.detail = path + ": " + failure.detail;
        return boost::outcome_v2::failure(std::move(failure));
    }
    return command_output{
        fmt::format("{}: {} is valid\n", path, found.value()),
        boost::json::object{
            {"file", path}, {"holds", found.value()}, {"valid", true}},
        {}};
}

} // namespace waxwingvalve::cli
