// Runs one coroutine to its end on an io_context of its own, for programs
// that have no thread of their own for the network.
#pragma once

#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace waxwingvalve::net
{

template <class T>
T run_blocking(boost::asio::awaitable<T> work)
{
    boost::asio::io_context context;
    std::optional<T> out;
    // co_spawn wants a result that can be made from nothing, which T may not
    // be; so the coroutine that it sees returns none.
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void>
        { out.emplace(co_await std::move(work)); },
        [](const std::exception_ptr& failure)
        {
            if (failure)
            {
                std::rethrow_exception(failure);
            }
        });
    context.run();
    return std::move(*out);
}

} // namespace waxwingvalve::net
