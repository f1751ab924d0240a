// Reads the health endpoint of each own worker, a period apart.
//
// What a worker says lags and may be wrong: a report may lower what this
// daemon admits, never raise it (decision/limits/worker_limit.hpp).
#pragma once

#include <memory>
#include <set>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "daemon/serving/slot_queue.hpp"
#include "daemon/serving/worker_pool.hpp"

namespace waxwingvalve::daemon::serving
{

class worker_health : public std::enable_shared_from_this<worker_health>
{
public:
    worker_health(
        boost::asio::any_io_executor executor,
        std::shared_ptr<slot_queue> slots);

    // Watches exactly these from now on; new ones are asked at once.
    void watch(std::set<base::endpoint> workers);

private:
    boost::asio::awaitable<void> poll(base::endpoint worker);
    boost::asio::awaitable<void> ask(const base::endpoint& worker);

    boost::asio::any_io_executor executor_;
    std::shared_ptr<slot_queue> slots_;
    std::set<base::endpoint> watched_;
    // Workers whose poll loop still runs.
    std::set<base::endpoint> polled_;
};

} // namespace waxwingvalve::daemon::serving
