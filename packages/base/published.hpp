// The latest value of something, from one thread to any other.
//
// The writer replaces the value whole; a reader gets a pointer to one that
// never changes. The lock is held for a pointer's copy alone.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace waxwingvalve::base
{

// Invariant: holds a value from construction on.
template <class T>
class published
{
public:
    void set(T value)
    {
        auto next = std::make_shared<const T>(std::move(value));
        const std::scoped_lock lock{mutex_};
        value_ = std::move(next);
    }

    std::shared_ptr<const T> get() const
    {
        const std::scoped_lock lock{mutex_};
        return value_;
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> value_{std::make_shared<const T>()};
};

} // namespace waxwingvalve::base
