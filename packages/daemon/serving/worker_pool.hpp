// Connections to one upstream worker and the count of its slots in use.
//
// Touched by the serving thread alone.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/endpoint.hpp"
#include "net/http_client.hpp"
#include "schema/records.hpp"

namespace waxwingvalve::daemon::serving
{

class worker_pool;

// One of a worker's slots, held for as long as this lives.
class slot_hold
{
public:
    explicit slot_hold(std::shared_ptr<worker_pool> pool);
    ~slot_hold();
    slot_hold(slot_hold&&) noexcept = default;
    slot_hold& operator=(slot_hold&&) = delete;
    slot_hold(const slot_hold&) = delete;
    slot_hold& operator=(const slot_hold&) = delete;

    worker_pool& pool() const { return *pool_; }

private:
    std::shared_ptr<worker_pool> pool_;
};

// What an exchange says of the worker.
enum class worker_verdict : std::uint8_t
{
    // A whole answer that is no server error.
    answered,
    // It refused without running, or no connection could be made.
    refused,
    // A server error, or no whole answer: says nothing of its room.
    failed,
};

// What the owner of a pool is told; either may be empty.
struct worker_events
{
    std::function<void(worker_verdict)> ended{};
    // A slot hold ended.
    std::function<void()> released{};
};

// Invariant: `in_use() <= slots()` as far as this daemon admits; idle
// connections ended their last exchange well.
class worker_pool
{
public:
    worker_pool(
        const boost::asio::any_io_executor& executor,
        const schema::worker& worker,
        worker_events events = {});

    const base::endpoint& address() const { return worker_.address; }
    std::uint32_t slots() const { return worker_.slots; }
    std::uint32_t in_use() const { return in_use_; }
    std::uint32_t free_slots() const { return worker_.slots - in_use_; }
    void set_slots(std::uint32_t slots) { worker_.slots = slots; }

    // Sends over a kept connection heard of within `proven_within`, or over a
    // new one.
    boost::asio::awaitable<net::exchange_result> exchange(
        const net::http_request& request,
        base::instant deadline,
        base::duration proven_within);

private:
    friend class slot_hold;

    void tell(worker_verdict verdict) const;

    std::unique_ptr<net::http_connection> take_kept(
        base::duration proven_within);

    boost::asio::any_io_executor executor_;
    schema::worker worker_;
    worker_events events_;
    std::uint32_t in_use_{0};
    std::vector<std::unique_ptr<net::http_connection>> idle_;
};

} // namespace waxwingvalve::daemon::serving
