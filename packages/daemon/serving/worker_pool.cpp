#include "daemon/serving/worker_pool.hpp"

#include <algorithm>

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
    exchange_options options,
    exchange_trace& trace)
{
    auto connection =
        options.fresh ? nullptr : take_kept(options.proven_within);
    trace.kept = connection != nullptr;
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

asio::awaitable<bool> worker_pool::refuses_connections()
{
    constexpr std::chrono::milliseconds probe_time{250};
    net::http_connection probe{executor_};
    const auto connected = co_await probe.connect(
        worker_.address, base::monotonic_clock::now() + probe_time);
    co_return !connected &&
        connected.error().code == base::result_code::connect_failed;
}

bool worker_pool::spend_silence_allowance(base::instant now)
{
    constexpr std::chrono::seconds allowance_period{30};
    if (now - silence_begin_ >= allowance_period)
    {
        silence_begin_ = now;
        silence_spent_ = 0;
    }
    if (silence_spent_ >= worker_.slots)
    {
        return false;
    }
    ++silence_spent_;
    return true;
}

void worker_pool::tell_reserved(bool reserved) const
{
    if (events_.reserved)
    {
        events_.reserved(reserved);
    }
}

worker_reservation::worker_reservation(std::shared_ptr<worker_pool> pool)
    : pool_{std::move(pool)}
{
    pool_->tell_reserved(true);
}

worker_reservation::~worker_reservation()
{
    pool_->tell_reserved(false);
}

running_mark::running_mark(
    std::shared_ptr<worker_pool> pool, decision::retries::request_digest digest)
    : pool_{std::move(pool)}, digest_{digest}, began_{
                                                   base::monotonic_clock::now()}
{
    pool_->running_.push_back(digest_);
}

running_mark::~running_mark()
{
    auto& running = pool_->running_;
    running.erase(std::ranges::find(running, digest_));
}

std::vector<decision::retries::request_digest> running_mark::claim_death()
{
    if (began_ <= pool_->last_death_)
    {
        return {};
    }
    pool_->last_death_ = base::monotonic_clock::now();
    return pool_->running_;
}

} // namespace waxwingvalve::daemon::serving
