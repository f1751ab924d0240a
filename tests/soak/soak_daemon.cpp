#include "soak/soak_daemon.hpp"

#include <csignal>

#include <algorithm>
#include <fstream>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "harness/loopback.hpp"
#include "harness/process_figures.hpp"

namespace waxwingvalve::soak
{

namespace
{

constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
constexpr int caller_port = 18'161;
constexpr int control_port = caller_port + 3;
// A daemon that was started answers its callers after this.
constexpr std::chrono::milliseconds start_time{2'500};

std::string address_of(int daemon, int port)
{
    return fmt::format("{}:{}", tests::own_host(daemon), port);
}

std::string zone_list()
{
    std::vector<std::string> listed;
    listed.reserve(zones.size());
    for (const auto& one : zones)
    {
        listed.push_back(fmt::format(
            R"({{"zone": "{}", "region": "{}"}})", one.name, one.region));
    }
    return fmt::format("[{}]", fmt::join(listed, ", "));
}

std::string settings_of(int number, const base::endpoint& store)
{
    const auto& own = zone_of(number);
    return fmt::format(
        R"({{"schema_version": 1, "name": "entry-{}", "region": "{}",
"zone": "{}", "caller_address": "{}", "readiness_address": "{}",
"lookup_address": "{}", "control_address": "{}", "peer_port": {},
"seeds": ["{}", "{}"],
"zones": {},
"store_address": "{}", "lookup_lifetime": "1s", "stop_time": "4s",
"retry_ratio": 0.2, "retry_window": "10s", "retry_allowance": 100,
"memory_mb": {}, "log_level": "info"}})",
        number,
        own.region,
        own.name,
        address_of(number, caller_port),
        address_of(number, caller_port + 1),
        address_of(number, caller_port + 2),
        address_of(number, control_port),
        caller_port + 4,
        address_of(0, control_port),
        address_of(1, control_port),
        zone_list(),
        to_string(store),
        memory_bytes / bytes_per_mb);
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
    earlier_own_ends_ = own_ends();
    ++starts_;
    told_to_end_ = false;
    note(daemon_state::starting);
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
    switch (signal)
    {
    case SIGKILL:
        note(daemon_state::killed);
        break;
    case SIGTERM:
        note(daemon_state::stopping);
        break;
    case SIGSTOP:
        note(daemon_state::paused);
        break;
    case SIGCONT:
        if (changes_.back().state == daemon_state::paused)
        {
            note(told_to_end_ ? daemon_state::stopping : daemon_state::resumed);
        }
        break;
    default:
        break;
    }
}

void soak_daemon::note(daemon_state state)
{
    disturbed_at_ = base::monotonic_clock::now();
    changes_.push_back({disturbed_at_, state});
}

std::span<const soak_daemon::state_change> soak_daemon::changes_until(
    base::instant at) const
{
    const auto next =
        std::ranges::upper_bound(changes_, at, {}, &state_change::at);
    return {changes_.begin(), next};
}

// How long the process that there is at `at` has been running by then.
base::duration soak_daemon::running_time(base::instant at) const
{
    base::duration total{};
    auto until = at;
    const auto changes = changes_until(at);
    for (auto change = changes.rbegin(); change != changes.rend(); ++change)
    {
        if (change->state != daemon_state::paused)
        {
            total += until - change->at;
        }
        if (change->state == daemon_state::starting)
        {
            break;
        }
        until = change->at;
    }
    return total;
}

bool soak_daemon::undisturbed(base::instant from, base::instant to) const
{
    const auto before = changes_until(from);
    if (before.empty() || changes_until(to).size() != before.size())
    {
        return false;
    }
    const auto state = before.back().state;
    const bool up =
        state == daemon_state::starting || state == daemon_state::resumed;
    return up && running_time(from) >= start_time;
}

bool soak_daemon::only_stopped(base::instant from, base::instant to) const
{
    const auto before = changes_until(from);
    if (before.empty() || before.back().state == daemon_state::paused ||
        before.back().state == daemon_state::killed)
    {
        return false;
    }
    return std::ranges::all_of(
        changes_until(to).subspan(before.size()),
        [](const state_change& one)
        { return one.state == daemon_state::stopping; });
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

std::vector<std::string> soak_daemon::own_ends()
{
    auto all = earlier_own_ends_;
    if (auto last = own_end())
    {
        all.push_back(std::move(*last));
    }
    return all;
}

std::optional<std::string> soak_daemon::own_end()
{
    if (starts_ == 0 || told_to_end_ || running())
    {
        return std::nullopt;
    }
    const int status = child_.native_exit_code();
    return WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status))
                               : fmt::format("status {}", WEXITSTATUS(status));
}

std::vector<base::endpoint> soak_daemon::ports() const
{
    std::vector<base::endpoint> all;
    for (auto port = caller_port; port <= control_port; ++port)
    {
        all.push_back(
            {tests::own_host(number_), static_cast<std::uint16_t>(port)});
    }
    return all;
}

std::uint64_t soak_daemon::peak_bytes() const
{
    constexpr std::uint64_t bytes_per_kb = 1024;
    return bytes_per_kb * harness::memory_high_water_kb(child_.id());
}

base::endpoint soak_daemon::callers() const
{
    return {tests::own_host(number_), caller_port};
}

} // namespace waxwingvalve::soak
