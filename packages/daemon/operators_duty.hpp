// The operators' thread: health, status and metrics on a port of its own, so
// that a busy serving thread never hides them.
#pragma once

#include <optional>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "base/result.hpp"
#include "daemon/figures.hpp"
#include "net/http_server.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon
{

class operators_duty
{
public:
    operators_duty(
        const schema::daemon_settings& settings, const figures& counts);
    ~operators_duty();
    operators_duty(const operators_duty&) = delete;
    operators_duty& operator=(const operators_duty&) = delete;

    // Errors: address_in_use.
    base::result<void> start();
    void stop();

private:
    std::optional<net::http_response> answer(const net::http_request& in) const;

    boost::asio::io_context context_;
    const schema::daemon_settings& settings_;
    const figures& counts_;
    net::http_server server_;
    std::thread thread_;
};

} // namespace waxwingvalve::daemon
