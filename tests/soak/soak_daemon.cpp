#include "soak/soak_daemon.hpp"

#include <csignal>

#include <fstream>

#include <fmt/format.h>

#include "harness/loopback.hpp"

namespace waxwingvalve::soak
{

namespace
{

constexpr int caller_port = 18'161;
constexpr int control_port = caller_port + 3;

std::string address_of(int daemon, int port)
{
    return fmt::format("{}:{}", tests::own_host(daemon), port);
}

std::string settings_of(int number, const base::endpoint& store)
{
    return fmt::format(
        R"({{"schema_version": 1, "name": "entry-{}", "region": "addis",
"zone": "addis-a", "caller_address": "{}", "readiness_address": "{}",
"lookup_address": "{}", "control_address": "{}", "peer_port": {},
"seeds": ["{}", "{}"],
"zones": [{{"zone": "addis-a", "region": "addis"}}],
"store_address": "{}", "lookup_lifetime": "1s", "stop_time": "4s",
"retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 100,
"log_level": "info"}})",
        number,
        address_of(number, caller_port),
        address_of(number, caller_port + 1),
        address_of(number, caller_port + 2),
        address_of(number, control_port),
        caller_port + 4,
        address_of(0, control_port),
        address_of(1, control_port),
        to_string(store));
}

} // namespace

soak_daemon::soak_daemon(
    int number,
    const base::endpoint& store,
    std::filesystem::path folder,
    std::filesystem::path program)
    : number_{number}, folder_{std::move(folder)}, program_{std::move(program)},
      settings_{folder_ / fmt::format("entry-{}.json", number)}
{
    std::ofstream{settings_} << settings_of(number, store);
    start();
}

soak_daemon::~soak_daemon()
{
    if (running())
    {
        send(SIGKILL);
    }
    std::error_code ignored;
    child_.wait(ignored);
}

void soak_daemon::start()
{
    ++starts_;
    told_to_end_ = false;
    disturbed_at_ = base::monotonic_clock::now();
    namespace bp = boost::process;
    const auto log = folder_ / fmt::format("entry-{}.log", number_);
    std::FILE* out = std::fopen(log.c_str(), "a");
    child_ = bp::child{
        program_.string(),
        bp::args({"--settings", settings_.string()}),
        bp::std_in<bp::null, bp::std_out> out,
        bp::std_err > out,
        // Else a closed relay's sockets would live on in the daemons.
        bp::limit_handles};
    if (out != nullptr)
    {
        static_cast<void>(std::fclose(out));
    }
}

void soak_daemon::send(int signal)
{
    if (!running())
    {
        return;
    }
    ::kill(child_.id(), signal);
    told_to_end_ = told_to_end_ || signal == SIGKILL || signal == SIGTERM;
    if (signal != SIGHUP)
    {
        disturbed_at_ = base::monotonic_clock::now();
    }
}

bool soak_daemon::running()
{
    std::error_code ignored;
    return child_.running(ignored);
}

bool soak_daemon::reads_signals()
{
    if (!running())
    {
        return false;
    }
    std::ifstream status{fmt::format("/proc/{}/status", child_.id())};
    std::string name;
    while (status >> name && name != "SigBlk:")
    {
    }
    std::uint64_t blocked{};
    status >> std::hex >> blocked;
    return (blocked >> (SIGHUP - 1) & 1U) != 0;
}

std::optional<std::string> soak_daemon::own_end()
{
    if (told_to_end_ || running())
    {
        return std::nullopt;
    }
    const int status = child_.native_exit_code();
    return WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status))
                               : fmt::format("status {}", WEXITSTATUS(status));
}

base::endpoint soak_daemon::callers() const
{
    return {tests::own_host(number_), caller_port};
}

} // namespace waxwingvalve::soak
