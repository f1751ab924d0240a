// What callers meet: look-ups answered at once, requests carried to a worker
// or a peer and back.
//
// Touched by the serving thread alone.
#pragma once

#include <cstdint>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/result.hpp"
#include "daemon/figures.hpp"
#include "daemon/serving/attempts.hpp"
#include "daemon/serving/filings.hpp"
#include "daemon/serving/job.hpp"
#include "daemon/serving/placement.hpp"
#include "net/http_message.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon::serving
{

class front
{
public:
    // `incarnation` tells this start of the daemon from any other.
    front(
        boost::asio::any_io_executor executor,
        const schema::daemon_settings& settings,
        placement& places,
        figures& counts,
        std::uint64_t incarnation);

    // Answers look-ups; nothing for a request to a service.
    std::optional<net::http_response> answer_now(const net::http_request& in);

    boost::asio::awaitable<std::optional<net::http_response>> serve(
        net::http_request in);

    // Refuses what could not be read as a request; it may have had a key.
    static net::http_response refuse_unread(const base::error& reason);

    // Filings that run without a caller that waits count too.
    // The prefix of the idempotency keys that this daemon remembers now.
    std::string key_prefix() { return filings_.key_prefix(); }
    std::size_t running_filings() const { return filings_.running(); }

private:
    bool passed_by_peer(const net::http_request& in) const;
    base::result<job> accept(const net::http_request& in) const;

    const schema::daemon_settings& settings_;
    placement& places_;
    figures& counts_;
    attempts attempts_;
    filing_gate filings_;
};

} // namespace waxwingvalve::daemon::serving
