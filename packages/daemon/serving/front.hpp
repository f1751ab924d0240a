// What callers meet: look-ups answered at once, requests carried to a worker
// or a peer and back.
//
// Touched by the serving thread alone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/time.hpp"
#include "daemon/figures.hpp"
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
    struct job;

    base::result<job> accept(net::http_request&& in) const;
    boost::asio::awaitable<net::http_response> run(job& work);
    boost::asio::awaitable<net::http_response> run_here(
        job& work, slot_hold hold);
    boost::asio::awaitable<net::http_response> pass_on(
        job& work, const schema::peer_settings& peer);
    std::string next_attempt_id();

    const schema::daemon_settings& settings_;
    placement& places_;
    figures& counts_;
    std::uint64_t attempts_{0};
};

} // namespace waxwingvalve::daemon::serving
