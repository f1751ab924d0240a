// HTTP client of the platform's table service.
#pragma once

#include <chrono>

#include "base/endpoint.hpp"
#include "store/table_service.hpp"

namespace waxwingvalve::store
{

// Every call opens its own exchange and fails after `timeout`.
class http_table_service
{
public:
    http_table_service(
        base::endpoint endpoint, std::chrono::milliseconds timeout)
        : endpoint_{std::move(endpoint)}, timeout_{timeout}
    {
    }

    // Returns an empty optional if the row does not exist.
    boost::asio::awaitable<base::result<std::optional<table_row>>> read(
        std::string_view table, std::string_view key);

    // Returns the rows whose key starts with `prefix`, in key order.
    boost::asio::awaitable<base::result<std::vector<table_row>>> scan(
        std::string_view table, std::string_view prefix);

    // Sends the transaction once; failed commits are not retried.
    boost::asio::awaitable<base::result<void>> commit(
        const transaction& change);

private:
    base::endpoint endpoint_;
    std::chrono::milliseconds timeout_;
};

static_assert(table_service<http_table_service>);

} // namespace waxwingvalve::store
