// Signals to the process as events of its loop.
//
// They are read from a descriptor, not taken by handlers: a handler interrupts
// the loop, and signals that come faster than it returns keep the loop from its
// timers and sockets.
//
// Each signal has a descriptor of its own. From a common one the kernel gives
// the pending signal with the lowest number first: a SIGHUP that is sent again
// before each read would hide SIGTERM.
#pragma once

#include <csignal>
#include <functional>
#include <initializer_list>
#include <list>
#include <span>
#include <vector>

#include <sys/signalfd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

namespace waxwingvalve::net
{

// A set of signals, held back from their default action.
class blocked_signals
{
public:
    // Blocks them in this thread and in those that it starts. They stay blocked
    // to the end of the process: while it is torn down, nothing reads them.
    explicit blocked_signals(std::initializer_list<int> signals);

    std::span<const int> signals() const { return signals_; }

private:
    std::vector<int> signals_;
};

class signal_reader
{
public:
    using handler = std::function<void(int signal)>;

    // Throws boost::system::system_error without free descriptors.
    signal_reader(
        boost::asio::io_context& loop, const blocked_signals& signals);

    // Calls the handler on the loop for each signal, also for those that came
    // since they are blocked. One that comes again before it is read counts
    // once.
    void start(handler on_signal);

private:
    struct source
    {
        boost::asio::posix::stream_descriptor descriptor;
        // Written by the read that is under way.
        signalfd_siginfo received{};
    };

    void read_next(source& from);

    // A list, as reads under way refer to their sources.
    std::list<source> sources_;
    handler on_signal_{};
};

} // namespace waxwingvalve::net
