#include "net/listening.hpp"

#include <utility>

#include "base/log.hpp"

namespace waxwingvalve::net
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using base::log_channel;
using base::log_level;
using base::result_code;
using boost::system::error_code;

namespace
{

result_code code_of(const error_code& failure)
{
    namespace errc = boost::system::errc;
    if (failure == errc::address_in_use)
    {
        return result_code::address_in_use;
    }
    const bool exhausted = failure == errc::too_many_files_open ||
                           failure == errc::too_many_files_open_in_system ||
                           failure == errc::no_buffer_space ||
                           failure == errc::not_enough_memory;
    return exhausted ? result_code::sockets_exhausted
                     : result_code::address_unusable;
}

base::result<void> report(
    const base::endpoint& where, const error_code& failure)
{
    if (!failure)
    {
        return base::success();
    }
    return base::fail(
        code_of(failure), to_string(where) + ": " + failure.message());
}

// Conditions that pass without a change of the settings.
bool is_temporary(result_code code)
{
    return code == result_code::address_in_use ||
           code == result_code::sockets_exhausted;
}

// Runs each step unless one before it has failed.
template <typename... Steps>
error_code run_until_failure(const Steps&... steps)
{
    error_code failure;
    ((failure ? void() : steps(failure)), ...);
    return failure;
}

} // namespace

base::result<void> open_listener(
    tcp::acceptor& acceptor, const base::endpoint& where)
{
    tcp::endpoint endpoint;
    const auto failure = run_until_failure(
        [&](error_code& out) {
            endpoint = {asio::ip::make_address(where.address, out), where.port};
        },
        [&](error_code& out) { acceptor.open(endpoint.protocol(), out); },
        [&](error_code& out)
        { acceptor.set_option(tcp::acceptor::reuse_address{true}, out); },
        [&](error_code& out) { acceptor.bind(endpoint, out); },
        [&](error_code& out) { acceptor.listen(listen_backlog, out); });
    if (failure)
    {
        error_code ignored;
        acceptor.close(ignored);
    }
    return report(where, failure);
}

base::result<void> open_listener(
    udp::socket& socket, const base::endpoint& where)
{
    udp::endpoint endpoint;
    const auto failure = run_until_failure(
        [&](error_code& out) {
            endpoint = {asio::ip::make_address(where.address, out), where.port};
        },
        [&](error_code& out) { socket.open(endpoint.protocol(), out); },
        [&](error_code& out) { socket.bind(endpoint, out); });
    if (failure)
    {
        error_code ignored;
        socket.close(ignored);
    }
    return report(where, failure);
}

base::result<void> listening_steps::start(std::vector<listening_step> steps)
{
    const auto now = base::monotonic_clock::now();
    for (auto& step : steps)
    {
        const auto opened = step.open();
        if (opened)
        {
            continue;
        }
        if (!is_temporary(opened.error().code))
        {
            return opened.error();
        }
        base::log_event(
            log_level::warning,
            log_channel::daemon,
            "address_held",
            "for",
            step.purpose,
            "reason",
            to_string(opened.error()));
        held_.push_back({std::move(step), now, now});
    }
    started_ = true;
    if (!held_.empty())
    {
        schedule();
    }
    return base::success();
}

void listening_steps::stop()
{
    held_.clear();
    timer_.cancel();
}

void listening_steps::schedule()
{
    timer_.expires_after(retry_interval);
    timer_.async_wait(
        [this](const error_code& cancelled)
        {
            if (!cancelled)
            {
                try_again();
            }
        });
}

void listening_steps::try_again()
{
    const auto now = base::monotonic_clock::now();
    std::erase_if(held_, [&](held_step& held) { return open_held(held, now); });
    if (!held_.empty())
    {
        schedule();
    }
}

bool listening_steps::open_held(held_step& held, base::instant now)
{
    const auto opened = held.step.open();
    const auto waited_ms = base::to_milliseconds(now - held.since);
    if (opened)
    {
        base::log_event(
            log_level::info,
            log_channel::daemon,
            "address_free",
            "for",
            held.step.purpose,
            "waited_ms",
            waited_ms);
        return true;
    }
    if (now - held.reported_at >= report_interval)
    {
        held.reported_at = now;
        base::log_event(
            log_level::warning,
            log_channel::daemon,
            "address_held",
            "for",
            held.step.purpose,
            "reason",
            to_string(opened.error()),
            "waited_ms",
            waited_ms);
    }
    return false;
}

} // namespace waxwingvalve::net
