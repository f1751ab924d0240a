// Attempts of one idempotent request that run side by side, until one of
// them is taken and the others are cancelled.
//
// Touched by the serving thread alone.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "daemon/serving/attempt_result.hpp"
#include "daemon/serving/worker_pool.hpp"

namespace waxwingvalve::daemon::serving
{

// One of the attempts. Invariant: `ended` is set when its coroutine returns.
struct race_branch
{
    base::endpoint target{};
    base::instant began{};
    // Empty when a peer runs the attempt.
    std::shared_ptr<worker_pool> pool{};
    // It went out over a connection that had served before.
    exchange_trace trace{};
    bool ended{false};
    boost::asio::cancellation_signal cancel{};
};

struct branch_end
{
    std::shared_ptr<race_branch> branch{};
    attempt_result result{};
};

// Invariant: destroying the race cancels every branch that has not ended, so
// a caller that hangs up leaves no work behind.
class attempt_race
{
public:
    using work = std::function<boost::asio::awaitable<attempt_result>(
        std::shared_ptr<race_branch>)>;

    explicit attempt_race(const boost::asio::any_io_executor& executor);
    ~attempt_race();
    attempt_race(const attempt_race&) = delete;
    attempt_race& operator=(const attempt_race&) = delete;

    void start(const std::shared_ptr<race_branch>& branch, work run);

    // Waits for the next branch to end; nothing when `until` comes first.
    boost::asio::awaitable<std::optional<branch_end>> next(base::instant until);

    std::size_t running() const;
    const std::vector<std::shared_ptr<race_branch>>& branches() const
    {
        return branches_;
    }

private:
    struct inbox;

    std::shared_ptr<inbox> inbox_;
    std::vector<std::shared_ptr<race_branch>> branches_;
};

} // namespace waxwingvalve::daemon::serving
