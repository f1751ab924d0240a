// One filing that runs, and the callers that wait for how it ends.
//
// The run is no part of any caller's connection: a caller that hangs up
// leaves it alone, so that its repeat finds an answer and not a doubt.
#pragma once

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/time.hpp"
#include "decision/filings/request_digest.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::daemon::serving
{

class filing_flight
{
public:
    explicit filing_flight(const decision::filings::request_digest& digest)
        : digest_{digest}
    {
    }

    const decision::filings::request_digest& digest() const { return digest_; }

    // `answer` is for those that wait now. A repeat that comes later gets
    // `repeat_answer`, as it will when the ending is recorded.
    void complete(net::http_response answer, net::http_response repeat_answer)
    {
        answer_ = std::move(answer);
        repeat_answer_ = std::move(repeat_answer);
        for (const auto& timer : std::exchange(waiters_, {}))
        {
            timer->cancel();
        }
    }

    // Nothing when the run has not ended by `deadline`.
    boost::asio::awaitable<std::optional<net::http_response>> wait(
        base::instant deadline)
    {
        if (answer_)
        {
            co_return repeat_answer_;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(
            co_await boost::asio::this_coro::executor, deadline);
        waiters_.push_back(timer);
        co_await timer->async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        co_return answer_;
    }

private:
    decision::filings::request_digest digest_;
    std::optional<net::http_response> answer_;
    // Set together with `answer_`.
    net::http_response repeat_answer_;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> waiters_;
};

} // namespace waxwingvalve::daemon::serving
