// The soak's daemons: the real program as processes on loopback.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/process.hpp>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "soak/soak_ledger.hpp"

namespace waxwingvalve::soak
{

enum class daemon_state : std::uint8_t
{
    starting,
    paused,
    resumed,
    // Told to end by SIGTERM.
    stopping,
    killed,
};

// A daemon process; only ever signalled by its own id.
class soak_daemon
{
public:
    // `program` is the daemon of this build or of another one.
    soak_daemon(
        int number,
        const base::endpoint& store,
        std::filesystem::path folder,
        std::filesystem::path program);
    ~soak_daemon();

    void start();
    void send(int signal);
    bool running();
    // Whether the process has come to block the signals that it reads. Before
    // that, while it is loaded, SIGHUP ends any process.
    bool reads_signals();
    // How the processes that nobody told to end have ended.
    std::vector<std::string> own_ends();
    base::endpoint callers() const;
    // Where callers, readiness checks, look-ups and control connect.
    std::vector<base::endpoint> ports() const;
    // Most memory that the process has used.
    std::uint64_t peak_bytes() const;
    int number() const { return number_; }
    // Counts the processes, so that two of them can be told apart.
    int starts() const { return starts_; }
    // Whether nothing kept the daemon from answering a request that was sent at
    // `from` and ended at `to`.
    bool undisturbed(base::instant from, base::instant to) const;
    // Whether nothing but a planned stop has disturbed it in that time.
    bool only_stopped(base::instant from, base::instant to) const;
    // Whether a kill, a stop, a pause or a start is long enough ago.
    bool calm(base::instant at) const
    {
        return at >= disturbed_at_ + contact_time;
    }

private:
    struct state_change
    {
        base::instant at{};
        daemon_state state{};
    };

    // How the last process has ended by itself, if it has.
    std::optional<std::string> own_end();
    void note(daemon_state state);
    std::span<const state_change> changes_until(base::instant at) const;
    base::duration running_time(base::instant at) const;

    int number_;
    int starts_{0};
    // Of the processes before the last one.
    std::vector<std::string> earlier_own_ends_{};
    // The process was sent a signal that ends it.
    bool told_to_end_{false};
    base::instant disturbed_at_{};
    // In the order of time; not empty once it was started.
    std::vector<state_change> changes_{};
    std::filesystem::path folder_;
    std::filesystem::path program_;
    std::filesystem::path settings_;
    boost::process::child child_;
};

} // namespace waxwingvalve::soak
