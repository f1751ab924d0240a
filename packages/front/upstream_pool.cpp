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
    auto& list = idle_[key];
    while (!list.empty())
    {
        auto last = std::move(list.back());
        list.pop_back();
        if (may_serve(last, must_be_fresh, now))
        {
            return last;
        }
        last->abandon();
    }
    auto made = std::make_shared<upstream_connection>(context_, address);
    made->on_idle([this, key](const connection_ptr& idle)
                  { idle_[key].push_back(idle); });
    return made;
}

void upstream_pool::close_expired(base::instant now)
{
    for (auto& [key, list] : idle_)
    {
        std::erase_if(
            list,
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
    const std::string begin = worker_id + '@';
    for (auto at = idle_.lower_bound(begin);
         at != idle_.end() && at->first.starts_with(begin);)
    {
        for (const auto& connection : at->second)
        {
            connection->abandon();
        }
        at = idle_.erase(at);
    }
}

} // namespace waxwingvalve::front
