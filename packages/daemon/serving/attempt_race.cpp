#include "daemon/serving/attempt_race.hpp"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace waxwingvalve::daemon::serving
{

namespace asio = boost::asio;

// Outlives the race when a cancelled branch ends after it.
struct attempt_race::inbox
{
    explicit inbox(const asio::any_io_executor& executor) : wake{executor} {}

    asio::steady_timer wake;
    std::deque<branch_end> ends;
};

attempt_race::attempt_race(const asio::any_io_executor& executor)
    : inbox_{std::make_shared<inbox>(executor)}
{
}

attempt_race::~attempt_race()
{
    for (const auto& branch : branches_)
    {
        if (!branch->ended)
        {
            branch->cancel.emit(asio::cancellation_type::terminal);
        }
    }
}

void attempt_race::start(const std::shared_ptr<race_branch>& branch, work run)
{
    branches_.push_back(branch);
    const auto slot = branch->cancel.slot();
    asio::co_spawn(
        inbox_->wake.get_executor(),
        [branch, run = std::move(run), in = inbox_]() -> asio::awaitable<void>
        {
            auto result = co_await run(branch);
            branch->ended = true;
            in->ends.push_back({branch, std::move(result)});
            in->wake.cancel();
        },
        asio::bind_cancellation_slot(slot, asio::detached));
}

asio::awaitable<std::optional<branch_end>> attempt_race::next(
    base::instant until)
{
    if (inbox_->ends.empty())
    {
        inbox_->wake.expires_at(until);
        co_await inbox_->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (inbox_->ends.empty())
    {
        co_return std::nullopt;
    }
    auto end = std::move(inbox_->ends.front());
    inbox_->ends.pop_front();
    co_return end;
}

std::size_t attempt_race::running() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        branches_, [](const auto& branch) { return !branch->ended; }));
}

} // namespace waxwingvalve::daemon::serving
