// The bounded ring that joins two threads: one writes, one reads.
//
// A full ring refuses instead of growing; the writer counts what it could
// not hand over and decides what that means.
#pragma once

#include <cstddef>
#include <optional>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

namespace waxwingvalve::base
{

template <class T>
class ring
{
public:
    explicit ring(std::size_t capacity) : queue_{capacity} {}

    // False when the ring is full; `item` is then untouched.
    bool push(T&& item) { return queue_.push(std::move(item)); }

    std::optional<T> pop()
    {
        T item{};
        if (!queue_.pop(item))
        {
            return std::nullopt;
        }
        return item;
    }

    // What the reader can take at this moment.
    std::size_t readable() const { return queue_.read_available(); }

private:
    boost::lockfree::spsc_queue<T> queue_;
};

} // namespace waxwingvalve::base
