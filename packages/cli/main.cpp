// waxwingvalve: the operators' client.
#include <chrono>
#include <cstdlib>
#include <string>
#include <vector>

#include "base/result.hpp"
#include "cli/check_command.hpp"
#include "cli/command_line.hpp"
#include "cli/run_command.hpp"
#include "cli/status_command.hpp"
#include "schema/settings.hpp"
#include "store/http_table_service.hpp"

namespace
{

using namespace waxwingvalve;

constexpr std::chrono::seconds platform_timeout{3};

base::result<cli::operator_identity> identify(
    const schema::operator_settings& settings)
{
    cli::operator_identity identity{.name = settings.operator_name};
    if (settings.key_file.empty())
    {
        return identity;
    }
    BOOST_OUTCOME_TRY(const auto text, schema::read_file(settings.key_file));
    BOOST_OUTCOME_TRY(
        identity.keys, decision::records::parse_operator_keys(text));
    return identity;
}

cli::command_result run(const cli::arguments& given)
{
    if (given.command == "check")
    {
        return cli::check_file(given.operands.front());
    }
    BOOST_OUTCOME_TRY(const auto text, schema::read_file(given.settings_path));
    BOOST_OUTCOME_TRY(
        const auto settings, schema::parse_operator_settings(text));
    if (given.command == "status")
    {
        return cli::query_statuses(settings.daemons);
    }
    BOOST_OUTCOME_TRY(auto identity, identify(settings));
    store::http_table_service table{settings.platform.table, platform_timeout};
    cli::record_commands commands{table, std::move(identity)};
    return cli::run_command(given, commands);
}

} // namespace

int main(int argc, char** argv)
{
    const auto given = cli::parse_arguments({argv + 1, argv + argc});
    if (!given)
    {
        return cli::print(
            boost::outcome_v2::failure(given.error()),
            cli::output_format::text);
    }
    if (given.value().exit_requested)
    {
        return EXIT_SUCCESS;
    }
    return cli::print(run(given.value()), given.value().format);
}
