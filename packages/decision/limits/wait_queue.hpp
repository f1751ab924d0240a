// Priority queue of requests that wait for a slot, with bounded waiting time.
//
// A request is rejected on arrival if the recent dequeue rate predicts that it
// would expire before its turn. Longer queues would only turn overload into
// latency for all requests.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "base/result.hpp"
#include "base/time.hpp"
#include "schema/records.hpp"

namespace waxwingvalve::decision::limits
{

// Maximum time that a request of this priority waits for a slot.
base::duration max_wait(schema::priority priority);

// Estimates waiting times from the mean interval between dequeues.
class dequeue_rate
{
public:
    // The estimate is zero until the second dequeue, so no request is
    // rejected for its expected wait before that.
    void note_dequeue(base::instant now);
    // Keeps the idle time of an empty queue out of the mean interval.
    void note_idle() { last_.reset(); }
    // Expected wait behind `ahead` other requests.
    base::duration expected_wait(std::size_t ahead) const;

private:
    std::optional<base::instant> last_;
    base::duration interval_{0};
};

// FIFO within a priority. Ticket identifies a waiting request and must be
// equality comparable. Invariant: at most `max_waiting` requests wait, each
// for at most max_wait() of its priority.
template <class Ticket>
class wait_queue
{
public:
    static constexpr std::size_t max_waiting = 1024;

    // Returns the time at which the request expires. Errors: overloaded.
    base::result<base::instant> enqueue(
        Ticket ticket,
        schema::priority priority,
        base::instant now,
        base::instant deadline)
    {
        const auto expires_at = std::min(deadline, now + max_wait(priority));
        const auto due = now + rate_.expected_wait(count_at_or_above(priority));
        if (size() >= max_waiting || due > expires_at)
        {
            return base::fail(base::result_code::overloaded);
        }
        queue_for(priority).push_back({std::move(ticket), expires_at});
        return expires_at;
    }

    // Removes and returns the next request; discards expired ones.
    std::optional<Ticket> next(base::instant now)
    {
        for (auto position = queues_.rbegin(); position != queues_.rend();
             ++position)
        {
            while (!position->empty())
            {
                auto front_request = std::move(position->front());
                position->pop_front();
                if (front_request.expires_at > now)
                {
                    rate_.note_dequeue(now);
                    return std::move(front_request.ticket);
                }
            }
        }
        return std::nullopt;
    }

    void remove(const Ticket& ticket)
    {
        for (auto& queue : queues_)
        {
            std::erase_if(
                queue,
                [&](const waiting_request& entry)
                { return entry.ticket == ticket; });
        }
        if (size() == 0)
        {
            rate_.note_idle();
        }
    }

    std::size_t size() const
    {
        return count_at_or_above(schema::priority::background);
    }
    bool empty() const { return size() == 0; }

    // Number of waiting requests of this priority or a higher one.
    std::size_t count_at_or_above(schema::priority priority) const
    {
        std::size_t count{0};
        for (auto position = index_of(priority); position < queues_.size();
             ++position)
        {
            count += queues_[position].size();
        }
        return count;
    }

private:
    struct waiting_request
    {
        Ticket ticket{};
        base::instant expires_at{};
    };

    static std::size_t index_of(schema::priority priority)
    {
        return static_cast<std::size_t>(priority);
    }
    std::deque<waiting_request>& queue_for(schema::priority priority)
    {
        return queues_.at(index_of(priority));
    }

    // Indexed by priority, lowest first.
    std::array<std::deque<waiting_request>, 3> queues_;
    dequeue_rate rate_;
};

} // namespace waxwingvalve::decision::limits
