// Kept connections to workers, by worker and address.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "front/upstream_connection.hpp"

namespace waxwingvalve::front
{

class upstream_pool
{
public:
    using connection_ptr = std::shared_ptr<upstream_connection>;

    // A request that must not be sent twice goes only on a connection that
    // was in use within this time: an older one may have been dropped
    // without notice, and a reset then leaves open whether it ran.
    static constexpr base::duration fresh_bound{
        std::chrono::milliseconds{1500}};

    explicit upstream_pool(boost::asio::io_context& context) : context_{context}
    {
    }

    // A kept connection, or a new one that connects with its first request.
    connection_ptr take(
        const std::string& worker_id,
        const base::endpoint& where,
        bool must_be_fresh,
        base::instant now);

    // Closes connections of workers that are gone, and those that were idle
    // for nearly as long as their worker keeps them.
    void sweep(base::instant now);
    void drop(const std::string& worker_id);

private:
    // Part of the worker's own idle time after which a kept connection is
    // not used again: the worker's close may be on its way.
    static constexpr double used_part_of_keep_alive = 0.8;

    bool may_serve(
        const connection_ptr& one, bool must_be_fresh, base::instant now) const;

    boost::asio::io_context& context_;
    // Most recently used last.
    std::map<std::string, std::vector<connection_ptr>> idle_;
};

} // namespace waxwingvalve::front
