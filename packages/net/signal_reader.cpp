#include "net/signal_reader.hpp"

#include <cerrno>
#include <utility>

#include <boost/asio/buffer.hpp>

namespace waxwingvalve::net
{

namespace asio = boost::asio;

namespace
{

sigset_t set_of(std::span<const int> signals)
{
    sigset_t set{};
    ::sigemptyset(&set);
    for (const int signal : signals)
    {
        ::sigaddset(&set, signal);
    }
    return set;
}

int open_descriptor(int signal)
{
    const auto set = set_of({&signal, 1});
    const int descriptor = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor < 0)
    {
        throw boost::system::system_error{
            {errno, boost::system::system_category()}, "signalfd"};
    }
    return descriptor;
}

} // namespace

blocked_signals::blocked_signals(std::initializer_list<int> signals)
    : signals_{signals}
{
    const auto set = set_of(signals_);
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

signal_reader::signal_reader(
    asio::io_context& loop, const blocked_signals& signals)
{
    for (const int signal : signals.signals())
    {
        sources_.push_back({.descriptor = {loop, open_descriptor(signal)}});
    }
}

void signal_reader::start(handler on_signal)
{
    on_signal_ = std::move(on_signal);
    for (auto& one : sources_)
    {
        read_next(one);
    }
}

void signal_reader::read_next(source& from)
{
    // A read takes one signal: the loop's other work has its turn before the
    // next.
    from.descriptor.async_read_some(
        asio::buffer(&from.received, sizeof(from.received)),
        [this, &from](const boost::system::error_code& failure, std::size_t)
        {
            if (failure)
            {
                return;
            }
            on_signal_(static_cast<int>(from.received.ssi_signo));
            read_next(from);
        });
}

} // namespace waxwingvalve::net
