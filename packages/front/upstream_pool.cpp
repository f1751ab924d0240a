// Selection and expiry of pooled connections.
#include "front/upstream_pool.hpp"

namespace waxwingvalve::front
{
namespace
{

std::string pool_key(
    const std::string& worker_id, const base::endpoint& address)
{
    return worker_id + '@' + to_string(address);
}

} // namespace

bool upstream_pool::may_serve(
    const connection_ptr& connection,
    bool must_be_fresh,
    base::instant now) const
{
    if (!connection->usable())
    {
        return false;
    }
    const auto idle = now - connection->last_used();
    if (must_be_fresh && idle > max_idle_non_idempotent)
    {
        return false;
    }
    return idle < std::chrono::duration_cast<base::duration>(
                      connection->keep_alive() * usable_keep_alive_share);
}

upstream_pool::connection_ptr upstream_pool::acquire(
    const std::string& worker_id,
    const base::endpoint& address,
    bool must_be_fresh,
    base::instant now)
{
    const auto key = pool_key(worker_id, address);
    auto& connections = idle_[key];
    while (!connections.empty())
    {
        auto candidate = std::move(connections.back());
        connections.pop_back();
        if (may_serve(candidate, must_be_fresh, now))
        {
            return candidate;
        }
        candidate->abandon();
    }
    auto connection = std::make_shared<upstream_connection>(
        context_,
        address,
        memory_.answers_of_workers.of(worker_id),
        memory_.most_for_answer);
    connection->on_idle([this, key](const connection_ptr& idle)
                        { idle_[key].push_back(idle); });
    return connection;
}

void upstream_pool::close_expired(base::instant now)
{
    for (auto& [key, connections] : idle_)
    {
        std::erase_if(
            connections,
            [&](const connection_ptr& connection)
            {
                if (may_serve(connection, false, now))
                {
                    return false;
                }
                connection->abandon();
                return true;
            });
    }
    std::erase_if(
        idle_, [](const auto& entry) { return entry.second.empty(); });
}

void upstream_pool::close_worker_connections(const std::string& worker_id)
{
    const std::string key_prefix = worker_id + '@';
    for (auto it = idle_.lower_bound(key_prefix);
         it != idle_.end() && it->first.starts_with(key_prefix);)
    {
        for (const auto& connection : it->second)
        {
            connection->abandon();
        }
        it = idle_.erase(it);
    }
}

} // namespace waxwingvalve::front
