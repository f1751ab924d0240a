// Joins two duties: one thread pushes, the io_context of another drains.
//
// The ring is bounded; a push that finds it full is refused and counted, and
// the pushing duty says what that means (a newer configuration follows, a
// figure is one period old).
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/ring.hpp"

namespace waxwingvalve::daemon
{

template <class T>
class duty_link
{
public:
    static constexpr std::size_t ring_items = 256;

    duty_link(boost::asio::io_context& reader, std::function<void(T)> receive)
        : shared_{std::make_shared<shared>(std::move(receive))}, reader_{reader}
    {
    }

    // Called by one thread only.
    bool push(T item)
    {
        if (!shared_->items.push(std::move(item)))
        {
            refused_.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        boost::asio::post(reader_, [shared = shared_] { shared->drain(); });
        return true;
    }

    std::uint64_t refused() const { return refused_.load(); }

private:
    struct shared
    {
        explicit shared(std::function<void(T)> r) : receive{std::move(r)} {}

        void drain()
        {
            while (auto item = items.pop())
            {
                receive(std::move(*item));
            }
        }

        base::ring<T> items{ring_items};
        std::function<void(T)> receive;
    };

    std::shared_ptr<shared> shared_;
    boost::asio::io_context& reader_;
    std::atomic<std::uint64_t> refused_{0};
};

} // namespace waxwingvalve::daemon
