// The soak's daemons: the real program as processes on loopback.
#pragma once

#include <filesystem>
#include <optional>
#include <string>

#include <boost/process.hpp>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "soak/soak_ledger.hpp"

namespace waxwingvalve::soak
{

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
    // How a process that nobody told to end has ended, if it has.
    std::optional<std::string> own_end();
    base::endpoint callers() const;
    int number() const { return number_; }
    // Counts the processes, so that two of them can be told apart.
    int starts() const { return starts_; }
    // Whether a kill, a stop, a pause or a start is long enough ago.
    bool calm(base::instant at) const
    {
        return at >= disturbed_at_ + contact_time;
    }

private:
    int number_;
    int starts_{0};
    // The process was sent a signal that ends it.
    bool told_to_end_{false};
    base::instant disturbed_at_{};
    std::filesystem::path folder_;
    std::filesystem::path program_;
    std::filesystem::path settings_;
    boost::process::child child_;
};

} // namespace waxwingvalve::soak
