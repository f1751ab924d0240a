// Pool of idle persistent connections, keyed by worker and address.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "front/body_memory.hpp"
#include "front/upstream_connection.hpp"

namespace waxwingvalve::front
{

// Reuses connections to workers.
class upstream_pool
{
public:
    using connection_ptr = std::shared_ptr<upstream_connection>;

    // Non-idempotent requests use only connections idle for at most this long:
    // an older one may have been dropped silently, and a reset would then leave
    // it unknown whether the request ran.
    static constexpr base::duration max_idle_non_idempotent{
        std::chrono::milliseconds{1500}};

    // `memory` has to outlive the connections.
    upstream_pool(boost::asio::io_context& context, body_memory& memory)
        : context_{context}, memory_{memory}
    {
    }

    // Returns the most recently used suitable connection, or a new one that
    // connects with its first request.
    connection_ptr acquire(
        const std::string& worker_id,
        const base::endpoint& address,
        bool must_be_fresh,
        base::instant now);

    // Closes connections that are closed by the peer or have been idle for
    // nearly as long as the worker keeps them open.
    void close_expired(base::instant now);
    // Closes all idle connections to the worker.
    void close_worker_connections(const std::string& worker_id);

private:
    // Share of the worker's keep-alive time after which an idle connection is
    // not reused, because the worker may be closing it at that moment.
    static constexpr double usable_keep_alive_share = 0.8;

    bool may_serve(
        const connection_ptr& connection,
        bool must_be_fresh,
        base::instant now) const;

    boost::asio::io_context& context_;
    body_memory& memory_;
    // Ordered by last use, most recent last.
    std::map<std::string, std::vector<connection_ptr>> idle_;
};

} // namespace waxwingvalve::front
