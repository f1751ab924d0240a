// waxwingvalved: the daemon of one entry VM.
#include <cstdlib>
#include <iostream>
#include <string>

#include <tclap/CmdLine.h>

#include "base/result.hpp"
#include "daemon/daemon.hpp"
#include "schema/settings.hpp"

namespace
{

using waxwingvalve::base::result;
using waxwingvalve::schema::daemon_settings;

result<daemon_settings> load(const std::string& path)
{
    using namespace waxwingvalve;
    BOOST_OUTCOME_TRY(const auto text, schema::read_file(path));
    auto parsed = schema::parse_daemon_settings(text);
    if (!parsed)
    {
        auto failure = parsed.error();
        failure.detail = path + ": " + failure.detail;
        return boost::outcome_v2::failure(std::move(failure));
    }
    return parsed;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace waxwingvalve;
    TCLAP::CmdLine command{
        "The waxwingvalve daemon of one entry VM.", ' ', WAXWINGVALVE_VERSION};
    const TCLAP::ValueArg<std::string> settings_path{
        "s", "settings", "JSON settings file", true, "", "FILE", command};
    command.parse(argc, argv);

    const auto settings = load(settings_path.getValue());
    if (!settings)
    {
        std::cerr << to_string(settings.error()) << '\n';
        return base::describe(settings.error().code).exit_status;
    }
    return daemon::run_daemon(settings.value());
}
