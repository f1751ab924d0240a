// In-process fake of the platform's store for tests. It serves table snapshots
// and change feeds over HTTP and can simulate store failures.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/endpoint.hpp"
#include "net/http_server.hpp"
#include "platform/store_client.hpp"

namespace waxwingvalve::tests
{

// Failures that the fake store can simulate.
enum class store_fault : std::uint8_t
{
    none,
    // Every request is answered with status 503.
    unavailable,
    // Every request is answered with status 429.
    too_many_requests,
    // The connection is closed without a response.
    connection_closed,
    // Requests get no response until after the client's timeout.
    no_response,
    // Change feeds are answered with status 410; full reads still work.
    history_gone,
    // The response body is not valid JSON.
    invalid_json,
    // The response body is larger than any that the store sends.
    oversized,
};

// HTTP server on a free loopback port that serves rows from memory.
class fake_store
{
public:
    explicit fake_store(boost::asio::io_context& loop);

    const base::endpoint& address() const { return address_; }
    // Inserts or replaces a row and advances the store's version.
    void put(
        const std::string& table,
        const std::string& key,
        const std::string& value);
    // The same for a row whose value is this text in place of any base64.
    void put_encoded(
        const std::string& table,
        const std::string& key,
        const std::string& encoded);
    // Marks a row as deleted and advances the store's version.
    void remove(const std::string& table, const std::string& key);
    // Keys of the rows of a table that are not deleted, with their values.
    std::map<std::string, std::string> values(const std::string& table) const;
    void set_fault(store_fault fault) { fault_ = fault; }
    // Requests for this table alone get status 503; for none if it is empty.
    void set_unavailable_table(std::string table)
    {
        unavailable_table_ = std::move(table);
    }
    // Keeps a copy of all rows, to which restore() goes back.
    void keep_copy() { copy_ = {tables_, version_}; }
    // Loses every write since keep_copy() and begins a new era.
    void restore();
    int request_count() const { return request_count_; }

private:
    boost::asio::awaitable<std::optional<net::http_response>> handle_request(
        net::http_request request);
    // Returns all rows of a table that are not deleted.
    net::http_response list_rows(const std::string& table) const;
    // Returns the rows changed since version `after`. Waits up to `max_wait`
    // until there is one or a fault is set.
    boost::asio::awaitable<net::http_response> wait_for_changes(
        std::string table,
        std::uint64_t after,
        std::chrono::milliseconds max_wait);

    boost::asio::io_context& loop_;
    base::endpoint address_{};
    std::unique_ptr<net::http_server> server_;
    // Adds the era to an answer.
    net::http_response with_era(net::http_response response) const;
    boost::asio::awaitable<std::optional<net::http_response>> answer(
        net::http_request request);

    // Text in place of the value of put_encoded().
    std::string encoded_value_{};
    // Rows by table and key, including deleted rows.
    using tables =
        std::map<std::string, std::map<std::string, store::mirrored_row>>;
    struct store_copy
    {
        tables rows{};
        std::uint64_t version{};
    };

    tables tables_;
    std::uint64_t version_{1};
    std::uint64_t era_{1};
    store_copy copy_{};
    store_fault fault_{store_fault::none};
    std::string unavailable_table_{};
    int request_count_{0};
};

} // namespace waxwingvalve::tests
