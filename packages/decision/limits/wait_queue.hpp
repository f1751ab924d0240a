// Requests that wait for a slot: bounded by time, highest priority first.
//
// A request is refused on arrival when, by the rate at which slots came free
// of late, its turn would come too late. Waiting longer than that would only
// turn the overload into latency for all.
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

// Longest time that a request of this priority waits for a slot.
base::duration longest_wait(schema::priority priority);

// Estimates how long a turn takes from the intervals between turns.
class turn_rate
{
public:
    // Requests are taken unseen until the first turn.
    void note_turn(base::instant now);
    void note_idle() { last_.reset(); }
    base::duration expected(std::size_t ahead) const;

private:
    std::optional<base::instant> last_;
    base::duration interval_{0};
};

// Ticket names a waiting request and is comparable. Invariant: at most
// `most_waiting` wait, each at most for longest_wait of its priority.
template <class Ticket>
class wait_queue
{
public:
    static constexpr std::size_t most_waiting = 1024;

    // Returns when the request gives up. Errors: overloaded.
    base::result<base::instant> enter(
        Ticket ticket,
        schema::priority priority,
        base::instant now,
        base::instant deadline)
    {
        const auto give_up = std::min(deadline, now + longest_wait(priority));
        const auto due = now + rate_.expected(ahead_of(priority));
        if (size() >= most_waiting || due > give_up)
        {
            return base::fail(base::result_code::overloaded);
        }
        lane(priority).push_back({std::move(ticket), give_up});
        return give_up;
    }

    // The request whose turn it is; those that gave up are dropped.
    std::optional<Ticket> next(base::instant now)
    {
        for (auto at = lanes_.rbegin(); at != lanes_.rend(); ++at)
        {
            while (!at->empty())
            {
                auto first = std::move(at->front());
                at->pop_front();
                if (first.give_up > now)
                {
                    rate_.note_turn(now);
                    return std::move(first.ticket);
                }
            }
        }
        return std::nullopt;
    }

    void leave(const Ticket& ticket)
    {
        for (auto& one : lanes_)
        {
            std::erase_if(
                one,
                [&](const waiting& waits) { return waits.ticket == ticket; });
        }
        if (size() == 0)
        {
            rate_.note_idle();
        }
    }

    std::size_t size() const { return ahead_of(schema::priority::background); }
    bool empty() const { return size() == 0; }

    // Waiting requests of this priority or a higher one.
    std::size_t ahead_of(schema::priority priority) const
    {
        std::size_t out{0};
        for (auto at = index_of(priority); at < lanes_.size(); ++at)
        {
            out += lanes_[at].size();
        }
        return out;
    }

private:
    struct waiting
    {
        Ticket ticket{};
        base::instant give_up{};
    };

    static std::size_t index_of(schema::priority priority)
    {
        return static_cast<std::size_t>(priority);
    }
    std::deque<waiting>& lane(schema::priority priority)
    {
        return lanes_.at(index_of(priority));
    }

    // By priority, the lowest first.
    std::array<std::deque<waiting>, 3> lanes_;
    turn_rate rate_;
};

} // namespace waxwingvalve::decision::limits
