// The serving thread: callers, peers and upstreams meet here.
#pragma once

#include <memory>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "base/result.hpp"
#include "daemon/duty_link.hpp"
#include "daemon/figures.hpp"
#include "daemon/serving/front.hpp"
#include "daemon/serving/placement.hpp"
#include "decision/records/configuration.hpp"
#include "net/http_server.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon
{

using configuration_pointer =
    std::shared_ptr<const decision::records::configuration>;

class serving_duty
{
public:
    serving_duty(
        const schema::daemon_settings& settings,
        figures& counts,
        std::uint64_t incarnation);
    ~serving_duty();
    serving_duty(const serving_duty&) = delete;
    serving_duty& operator=(const serving_duty&) = delete;

    // Errors: address_in_use.
    base::result<void> start();

    // Hands a newer configuration over; called by the records duty.
    bool offer(configuration_pointer next);

    // A planned stop: takes no new connection, lets what runs end, then ends
    // the thread. Returns at once.
    void begin_stop();

    // Waits until the thread has ended.
    void join();

private:
    void adopt(configuration_pointer next);
    void watch_for_end();

    boost::asio::io_context context_;
    const schema::daemon_settings& settings_;
    figures& counts_;
    serving::placement places_;
    serving::front front_;
    net::http_server server_;
    duty_link<configuration_pointer> configurations_;
    std::thread thread_;
};

} // namespace waxwingvalve::daemon
