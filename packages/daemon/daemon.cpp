#include "daemon/daemon.hpp"

#include <csignal>
#include <cstdlib>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "base/log.hpp"
#include "daemon/figures.hpp"
#include "daemon/incarnation.hpp"
#include "daemon/members_duty.hpp"
#include "daemon/operators_duty.hpp"
#include "daemon/records_duty.hpp"
#include "daemon/serving_duty.hpp"

namespace waxwingvalve::daemon
{

namespace asio = boost::asio;
using base::log_channel;
using base::log_event;
using base::log_level;

namespace
{

constexpr int exit_interrupted = 130;

int report(const base::error& failure)
{
    log_event(
        log_level::error,
        log_channel::daemon,
        "start_failed",
        "reason",
        to_string(failure));
    return base::describe(failure.code).exit_status;
}

// The first signal begins a planned stop, the second ends the process.
class stop_signals
{
public:
    stop_signals(
        asio::io_context& context, serving_duty& serving, members_duty& members)
        : signals_{context, SIGTERM, SIGINT}
    {
        signals_.async_wait(
            [this, &serving, &members](
                const boost::system::error_code& failure, int)
            {
                if (failure)
                {
                    return;
                }
                log_event(log_level::info, log_channel::daemon, "planned_stop");
                members.begin_stop();
                serving.begin_stop();
                signals_.async_wait(
                    [](const boost::system::error_code& second, int)
                    {
                        if (!second)
                        {
                            std::_Exit(exit_interrupted);
                        }
                    });
            });
    }

private:
    asio::signal_set signals_;
};

} // namespace

int run_daemon(const schema::daemon_settings& settings)
{
    base::set_log_level(settings.log_level);
    const base::log_writer log;

    figures counts;
    asio::io_context signal_context{1};
    operators_duty operators{settings, counts};
    {
        const auto incarnation = make_incarnation();
        serving_duty serving{settings, counts, incarnation};
        records_duty records{settings, counts, [&](configuration_pointer next) {
                                 return serving.offer(std::move(next));
                             }};
        serving.on_hint([&](configuration_hint heard)
                        { records.hint(std::move(heard)); });
        members_duty members{
            settings,
            counts,
            {.members = [&](serving::member_pointer next)
             { return serving.offer_members(std::move(next)); },
             .owned = [&](decision::ownership::owned_workers next)
             { return serving.offer_ownership(std::move(next)); },
             .leaving_vms = [&](std::set<std::string, std::less<>> addresses)
             { return serving.offer_leaving_vms(std::move(addresses)); }},
            incarnation};
        serving.report_to([&](serving_report report)
                          { return members.offer(std::move(report)); });
        const stop_signals signals{signal_context, serving, members};

        if (auto started = operators.start(); !started)
        {
            return report(started.error());
        }
        if (auto started = records.start(); !started)
        {
            return report(started.error());
        }
        // The serving thread reports to the members duty, which has to outlive
        // it: nothing may fail after it runs.
        if (auto started = members.start(); !started)
        {
            return report(started.error());
        }
        if (auto started = serving.start(); !started)
        {
            return report(started.error());
        }
        std::thread signal_thread{[&] { signal_context.run(); }};
        log_event(
            log_level::info,
            log_channel::daemon,
            "started",
            "name",
            settings.name,
            "zone",
            settings.zone,
            "address",
            base::to_string(settings.caller_address));
        serving.join();
        members.end_stop();
        signal_context.stop();
        signal_thread.join();
    }
    log_event(log_level::info, log_channel::daemon, "stopped");
    return EXIT_SUCCESS;
}

} // namespace waxwingvalve::daemon
