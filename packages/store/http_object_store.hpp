// HTTP client of the platform's object store.
#pragma once

#include <chrono>

#include "base/endpoint.hpp"
#include "store/object_store.hpp"

namespace waxwingvalve::store
{

// Every call opens its own exchange and fails after `timeout`.
class http_object_store
{
public:
    http_object_store(
        base::endpoint endpoint, std::chrono::milliseconds timeout)
        : endpoint_{std::move(endpoint)}, timeout_{timeout}
    {
    }

    boost::asio::awaitable<base::result<std::string>> get(
        std::string_view name);

    boost::asio::awaitable<base::result<void>> put(
        std::string_view name, std::string bytes);

private:
    base::endpoint endpoint_;
    std::chrono::milliseconds timeout_;
};

static_assert(object_store<http_object_store>);

} // namespace waxwingvalve::store
