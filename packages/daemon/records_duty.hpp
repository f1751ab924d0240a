// The records thread: learns of accepted configurations from the platform
// and hands each newer one to the serving thread.
#pragma once

#include <functional>
#include <thread>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "daemon/figures.hpp"
#include "daemon/serving_duty.hpp"
#include "platform/http_table_service.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon
{

class records_duty
{
public:
    records_duty(
        const schema::daemon_settings& settings,
        figures& counts,
        std::function<bool(configuration_pointer)> deliver);
    ~records_duty();
    records_duty(const records_duty&) = delete;
    records_duty& operator=(const records_duty&) = delete;

    void start();
    void stop();

private:
    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<void> poll_once();

    boost::asio::io_context context_;
    figures& counts_;
    std::function<bool(configuration_pointer)> deliver_;
    platform::http_table_service table_;
    decision::records::revision delivered_{0};
    std::thread thread_;
};

} // namespace waxwingvalve::daemon
