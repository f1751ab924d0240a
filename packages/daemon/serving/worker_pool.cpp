#include "daemon/serving/worker_pool.hpp"

#include "base/time.hpp"

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;

slot_hold::slot_hold(std::shared_ptr<worker_pool> pool) : pool_{std::move(pool)}
{
    ++pool_->in_use_;
}

slot_hold::~slot_hold()
{
    if (pool_)
    {
        --pool_->in_use_;
    }
}

worker_pool::worker_pool(
    const asio::any_io_executor& executor, const schema::worker& worker)
    : executor_{executor}, worker_{worker}
{
}

std::unique_ptr<net::http_connection> worker_pool::take_kept(
    base::duration proven_within)
{
    const auto oldest = base::monotonic_clock::now() - proven_within;
    while (!idle_.empty())
    {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (connection->last_heard() >= oldest && connection->open())
        {
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<net::exchange_result> worker_pool::exchange(
    const net::http_request& request,
    base::instant deadline,
    base::duration proven_within)
{
    auto connection = take_kept(proven_within);
    if (!connection)
    {
        connection = std::make_unique<net::http_connection>(executor_);
        auto connected =
            co_await connection->connect(worker_.address, deadline);
        if (!connected)
        {
            co_return boost::outcome_v2::failure(net::exchange_failure{
                connected.error(), net::exchange_progress::nothing_sent});
        }
    }
    auto answer = co_await connection->exchange(request, deadline);
    if (answer && connection->open())
    {
        idle_.push_back(std::move(connection));
    }
    co_return answer;
}

} // namespace waxwingvalve::daemon::serving
