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
#include "decision/retries/request_digest.hpp"
#include "net/http_client.hpp"
#include "schema/records.hpp"

namespace waxwingvalve::daemon::serving
{

class worker_pool;

// Which connection a request goes out on.
struct exchange_options
{
    // A kept connection must have been heard of within this.
    base::duration proven_within{};
    // Never a kept one.
    bool fresh{false};
};

// What an exchange tells while it still runs.
struct exchange_trace
{
    // It uses a connection that had served before.
    bool kept{false};
};

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

    const std::shared_ptr<worker_pool>& pool() const { return pool_; }

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
    // One request has the worker to itself from now on, or no longer.
    std::function<void(bool)> reserved{};
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
    void set_slots(std::uint32_t slots) { worker_.slots = slots; }

    // Sends over a kept connection or a new one, as the options say.
    boost::asio::awaitable<net::exchange_result> exchange(
        const net::http_request& request,
        base::instant deadline,
        exchange_options options,
        exchange_trace& trace);

    // True when the worker's address refuses connections, which a frozen or
    // slow worker's does not.
    boost::asio::awaitable<bool> refuses_connections();

    // Closes the kept connections: one of them has gone silent, so the
    // others may have.
    void distrust_kept() { idle_.clear(); }

    // True when a request that hangs on a kept connection may be repeated
    // outside the retry budget: once for each slot in a while, so that a
    // slow worker cannot earn it again and again.
    bool spend_silence_allowance(base::instant now);

private:
    friend class worker_reservation;
    friend class running_mark;
    friend class slot_hold;

    void tell(worker_verdict verdict) const;
    void tell_reserved(bool reserved) const;

    std::unique_ptr<net::http_connection> take_kept(
        base::duration proven_within);

    boost::asio::any_io_executor executor_;
    schema::worker worker_;
    worker_events events_;
    std::uint32_t in_use_{0};
    std::uint32_t silence_spent_{0};
    base::instant silence_begin_{};
    std::vector<decision::retries::request_digest> running_;
    base::instant last_death_{};
    std::vector<std::unique_ptr<net::http_connection>> idle_;
};

// Keeps a worker's other slots empty while one request runs alone.
class worker_reservation
{
public:
    explicit worker_reservation(std::shared_ptr<worker_pool> pool);
    ~worker_reservation();
    worker_reservation(const worker_reservation&) = delete;
    worker_reservation& operator=(const worker_reservation&) = delete;

private:
    std::shared_ptr<worker_pool> pool_;
};

// Names a request that runs on a worker, for as long as this lives.
class running_mark
{
public:
    running_mark(
        std::shared_ptr<worker_pool> pool,
        decision::retries::request_digest digest);
    ~running_mark();
    running_mark(const running_mark&) = delete;
    running_mark& operator=(const running_mark&) = delete;

    // All that ran with this request when the worker died; empty when the
    // same death was counted by another of them.
    std::vector<decision::retries::request_digest> claim_death();

private:
    std::shared_ptr<worker_pool> pool_;
    decision::retries::request_digest digest_;
    base::instant began_;
};

} // namespace waxwingvalve::daemon::serving
