// waxwingvalve: the operators' client.
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "base/result.hpp"
#include "cli/record_commands.hpp"
#include "cli/status_command.hpp"
#include "net/run_blocking.hpp"
#include "platform/http_table_service.hpp"
#include "schema/records.hpp"
#include "schema/settings.hpp"

namespace
{

using namespace waxwingvalve;
using decision::records::proposal;

constexpr std::chrono::seconds platform_timeout{3};

struct arguments
{
    std::string settings_path{};
    std::string command{};
    std::vector<std::string> operands{};
};

arguments read_arguments(int argc, char** argv)
{
    TCLAP::CmdLine line{
        "Writes, reviews and accepts steering records. Commands: propose "
        "FILE, review ID, accept ID, reject ID, status, check FILE.",
        ' ',
        WAXWINGVALVE_VERSION};
    const TCLAP::ValueArg<std::string> settings{
        "s", "settings", "JSON settings file", false, "", "FILE", line};
    const TCLAP::UnlabeledValueArg<std::string> command{
        "command", "what to do", true, "", "COMMAND", line};
    TCLAP::UnlabeledMultiArg<std::string> operands{
        "operands", "what to do it to", false, "OPERAND", line};
    line.parse(argc, argv);
    return {settings.getValue(), command.getValue(), operands.getValue()};
}

int report(const base::error& failure)
{
    std::cerr << to_string(failure) << '\n';
    return base::describe(failure.code).exit_status;
}

int report(const base::result<proposal>& outcome)
{
    if (!outcome)
    {
        return report(outcome.error());
    }
    const auto& done = outcome.value();
    std::cout << done.id << ' ' << to_string(done.state);
    if (done.accepted_as != 0)
    {
        std::cout << " revision " << done.accepted_as;
    }
    std::cout << '\n';
    return EXIT_SUCCESS;
}

int check(const std::string& path)
{
    const auto text = schema::read_file(path);
    if (!text)
    {
        return report(text.error());
    }
    const auto record = schema::parse_record(text.value());
    if (!record)
    {
        return report(record.error());
    }
    std::cout << path << ": " << record.value().kind << ' '
              << record.value().name << " is valid\n";
    return EXIT_SUCCESS;
}

int run_record_command(
    const arguments& given, const schema::operator_settings& settings)
{
    platform::http_table_service table{
        settings.platform.table, platform_timeout};
    cli::operator_identity who{.name = settings.operator_name};
    if (!settings.key_file.empty())
    {
        const auto text = schema::read_file(settings.key_file);
        if (!text)
        {
            return report(text.error());
        }
        auto keys = decision::records::parse_operator_keys(text.value());
        if (!keys)
        {
            return report(keys.error());
        }
        who.keys = std::move(keys).value();
    }
    cli::record_commands commands{table, std::move(who)};
    const auto& operand = given.operands.front();
    if (given.command == "propose")
    {
        auto text = schema::read_file(operand);
        if (!text)
        {
            return report(text.error());
        }
        return report(
            net::run_blocking(commands.propose(std::move(text).value())));
    }
    if (given.command == "review")
    {
        return report(net::run_blocking(commands.review(operand)));
    }
    if (given.command == "accept")
    {
        return report(net::run_blocking(commands.accept(operand)));
    }
    if (given.command == "reject")
    {
        return report(net::run_blocking(commands.reject(operand)));
    }
    return report(
        base::error{base::result_code::command_line_invalid, given.command});
}

int run_command(const arguments& given)
{
    if (given.command != "status" && given.operands.empty())
    {
        return report(base::error{
            base::result_code::command_line_invalid,
            given.command + " needs an operand"});
    }
    if (given.command == "check")
    {
        return check(given.operands.front());
    }
    const auto text = schema::read_file(given.settings_path);
    if (!text)
    {
        return report(text.error());
    }
    const auto settings = schema::parse_operator_settings(text.value());
    if (!settings)
    {
        return report(settings.error());
    }
    if (given.command == "status")
    {
        std::cout << cli::all_statuses(settings.value().daemons);
        return EXIT_SUCCESS;
    }
    return run_record_command(given, settings.value());
}

} // namespace

int main(int argc, char** argv)
{
    return run_command(read_arguments(argc, argv));
}
