#include "daemon/serving/worker_pool.hpp"

#include "base/time.hpp"
#include "daemon/serving/answers.hpp"

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned first_server_error = 500;
constexpr unsigned unavailable = 503;

worker_verdict verdict_of(const net::http_response& answer)
{
    if (answer.status < first_server_error)
    {
        return worker_verdict::answered;
    }
    const bool not_run =
        net::find_field(answer.fields, outcome_field) == "not-run";
    return answer.status == unavailable && not_run ? worker_verdict::refused
                                                   : worker_verdict::failed;
}

} // namespace

slot_hold::slot_hold(std::shared_ptr<worker_pool> pool) : pool_{std::move(pool)}
{
    ++pool_->in_use_;
}

slot_hold::~slot_hold()
{
    if (!pool_)
    {
        return;
    }
    --pool_->in_use_;
    if (pool_->events_.released)
    {
        pool_->events_.released();
    }
}

worker_pool::worker_pool(
    const asio::any_io_executor& executor,
    const schema::worker& worker,
    worker_events events)
    : executor_{executor}, worker_{worker}, events_{std::move(events)}
{
}

void worker_pool::tell(worker_verdict verdict) const
{
    if (events_.ended)
    {
        events_.ended(verdict);
    }
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
            tell(worker_verdict::refused);
            co_return boost::outcome_v2::failure(net::exchange_failure{
                connected.error(), net::exchange_progress::nothing_sent});
        }
    }
    auto answer = co_await connection->exchange(request, deadline);
    tell(answer ? verdict_of(answer.value()) : worker_verdict::failed);
    if (answer && connection->open())
    {
        idle_.push_back(std::move(connection));
    }
    co_return answer;
}

} // namespace waxwingvalve::daemon::serving
