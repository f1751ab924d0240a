#include "daemon/serving/slot_queue.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;
using base::monotonic_clock;
using base::result_code;

class slot_queue::place_in_queue
{
public:
    place_in_queue(
        slot_queue& owner, queue& waiting, std::shared_ptr<waiter> self)
        : owner_{owner}, waiting_{waiting}, self_{std::move(self)}
    {
    }
    ~place_in_queue()
    {
        if (owner_.closed_)
        {
            return;
        }
        waiting_.remove(self_);
        if (self_->granted)
        {
            owner_.release(*self_->granted);
        }
    }
    place_in_queue(const place_in_queue&) = delete;
    place_in_queue& operator=(const place_in_queue&) = delete;

    std::optional<base::endpoint> take_granted()
    {
        return std::exchange(self_->granted, std::nullopt);
    }

private:
    slot_queue& owner_;
    queue& waiting_;
    std::shared_ptr<waiter> self_;
};

slot_queue::slot_queue(asio::any_io_executor executor)
    : executor_{std::move(executor)}
{
}

std::optional<base::endpoint> slot_queue::take(
    std::string_view service,
    schema::priority priority,
    std::span<const base::endpoint> avoid)
{
    const auto found = queues_.find(service);
    if (found != queues_.end() && found->second.count_at_or_above(priority) > 0)
    {
        return std::nullopt;
    }
    return admission_.admit_except(service, avoid, monotonic_clock::now());
}

asio::awaitable<base::result<base::endpoint>> slot_queue::wait(
    std::string service, schema::priority priority, base::instant deadline)
{
    // The frame may outlive the placement at the daemon's end.
    const auto keep = shared_from_this();
    auto& waiting = queues_[service];
    auto self = std::make_shared<waiter>(waiter{asio::steady_timer{executor_}});
    const auto now = monotonic_clock::now();
    const auto give_up = waiting.enqueue(self, priority, now, deadline);
    if (!give_up)
    {
        co_return boost::outcome_v2::failure(give_up.error());
    }
    place_in_queue place{*this, waiting, self};
    self->wake.expires_at(give_up.value());
    pump(service, waiting);
    if (!self->granted)
    {
        co_await self->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (auto got = place.take_granted())
    {
        co_return std::move(*got);
    }
    co_return base::fail(result_code::queue_timeout, service);
}

void slot_queue::release(const base::endpoint& worker)
{
    admission_.release(worker);
    pump();
}

void slot_queue::pump()
{
    if (closed_)
    {
        return;
    }
    for (auto& [service, waiting] : queues_)
    {
        pump(service, waiting);
    }
}

void slot_queue::pump(const std::string& service, queue& waiting)
{
    const auto now = monotonic_clock::now();
    while (!waiting.empty())
    {
        const auto got = admission_.admit(service, now);
        if (!got)
        {
            return;
        }
        const auto next = waiting.next(now);
        if (!next)
        {
            admission_.release(*got);
            return;
        }
        (*next)->granted = got;
        (*next)->wake.cancel();
    }
}

} // namespace waxwingvalve::daemon::serving
