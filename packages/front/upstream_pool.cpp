#include "front/upstream_pool.hpp"

namespace waxwingvalve::front
{
namespace
{

std::string pool_key(const std::string& worker_id, const base::endpoint& where)
{
    return worker_id + '@' + to_string(where);
}

} // namespace

bool upstream_pool::may_serve(
    const connection_ptr& one, bool must_be_fresh, base::instant now) const
{
    if (!one->usable())
    {
        return false;
    }
    const auto idle = now - one->last_used();
    if (must_be_fresh && idle > fresh_bound)
    {
        return false;
    }
    return idle < std::chrono::duration_cast<base::duration>(
                      one->keep_alive() * used_part_of_keep_alive);
}

upstream_pool::connection_ptr upstream_pool::take(
    const std::string& worker_id,
    const base::endpoint& where,
    bool must_be_fresh,
    base::instant now)
{
    const auto key = pool_key(worker_id, where);
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
    auto made = std::make_shared<upstream_connection>(context_, where);
    made->on_idle([this, key](const connection_ptr& idle)
                  { idle_[key].push_back(idle); });
    return made;
}

void upstream_pool::sweep(base::instant now)
{
    for (auto& [key, list] : idle_)
    {
        std::erase_if(
            list,
            [&](const connection_ptr& one)
            {
                if (may_serve(one, false, now))
                {
                    return false;
                }
                one->abandon();
                return true;
            });
    }
    std::erase_if(idle_, [](const auto& one) { return one.second.empty(); });
}

void upstream_pool::drop(const std::string& worker_id)
{
    const std::string begin = worker_id + '@';
    for (auto at = idle_.lower_bound(begin);
         at != idle_.end() && at->first.starts_with(begin);)
    {
        for (const auto& one : at->second)
        {
            one->abandon();
        }
        at = idle_.erase(at);
    }
}

} // namespace waxwingvalve::front
