// What callers meet: look-ups answered at once, requests carried to a worker
// or a peer and back.
//
// Touched by the serving thread alone.
#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "base/result.hpp"
#include "daemon/figures.hpp"
#include "daemon/serving/attempts.hpp"
#include "daemon/serving/job.hpp"
#include "daemon/serving/placement.hpp"
#include "net/http_message.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon::serving
{

class front
{
public:
    front(
        const schema::daemon_settings& settings,
        placement& places,
        figures& counts);

    // Answers look-ups; nothing for a request to a service.
    std::optional<net::http_response> answer_now(const net::http_request& in);

    boost::asio::awaitable<std::optional<net::http_response>> serve(
        net::http_request in);

private:
    base::result<job> accept(net::http_request&& in) const;

    const schema::daemon_settings& settings_;
    placement& places_;
    figures& counts_;
    attempts attempts_;
};

} // namespace waxwingvalve::daemon::serving
