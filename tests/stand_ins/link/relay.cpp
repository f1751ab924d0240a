#include "stand_ins/link/relay.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "base/time.hpp"

namespace waxwingvalve::stand_ins
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t chunk_bytes = 16 * 1024;
constexpr int listen_backlog = 512;

struct chunk
{
    base::instant due{};
    // Empty at the end of the stream.
    std::string bytes{};
};

// One direction: what was read waits here until it is due.
struct lane
{
    explicit lane(asio::io_context& context) : wake{context} {}

    std::deque<chunk> waiting;
    // When the last bytes that were accepted have left.
    base::instant busy_until{};
    asio::steady_timer wake;
};

tcp::endpoint to_tcp(const base::endpoint& where)
{
    return {asio::ip::make_address(where.address), where.port};
}

} // namespace

class relay::session : public std::enable_shared_from_this<session>
{
public:
    session(relay& owner, tcp::socket caller)
        : owner_{owner}, caller_{std::move(caller)}, target_{owner.context_},
          onward_{owner.context_}, back_{owner.context_},
          silent_{owner.faults_.silence}
    {
    }

    asio::awaitable<void> run()
    {
        using namespace asio::experimental::awaitable_operators;
        auto [failure] =
            co_await target_.async_connect(to_tcp(owner_.target_), use_tuple);
        if (failure)
        {
            close();
            co_return;
        }
        boost::system::error_code ignored;
        caller_.set_option(tcp::no_delay{true}, ignored);
        target_.set_option(tcp::no_delay{true}, ignored);
        co_await (
            receive(caller_, onward_, 0) &&
            receive(target_, back_, owner_.faults_.cut_after_bytes) &&
            forward(onward_, target_) && forward(back_, caller_));
        close();
    }

    void silence() { silent_ = true; }

    void close()
    {
        boost::system::error_code ignored;
        caller_.close(ignored);
        target_.close(ignored);
        onward_.wake.cancel();
        back_.wake.cancel();
    }

private:
    asio::awaitable<void> receive(
        tcp::socket& from, lane& to, std::int64_t cut_after)
    {
        std::array<char, chunk_bytes> buffer{};
        std::int64_t left = cut_after;
        while (true)
        {
            auto [failure, size] =
                co_await from.async_read_some(asio::buffer(buffer), use_tuple);
            if (failure && failure != asio::error::eof)
            {
                close();
                co_return;
            }
            if (silent_ && !failure)
            {
                continue;
            }
            const bool cut =
                cut_after > 0 && static_cast<std::int64_t>(size) >= left;
            const auto passed = cut ? static_cast<std::size_t>(left) : size;
            left -= static_cast<std::int64_t>(size);
            if (passed > 0)
            {
                push(to, std::string(buffer.data(), passed));
            }
            if (failure || cut)
            {
                push(to, {});
            }
            if (failure || cut)
            {
                co_return;
            }
        }
    }

    void push(lane& to, std::string bytes)
    {
        const auto now = base::monotonic_clock::now();
        to.busy_until =
            std::max(to.busy_until, now) + owner_.sending_time(bytes.size());
        auto due = to.busy_until + owner_.next_delay();
        if (!to.waiting.empty())
        {
            // Bytes of one connection stay in their order.
            due = std::max(due, to.waiting.back().due);
        }
        to.waiting.push_back({due, std::move(bytes)});
        to.wake.cancel();
    }

    asio::awaitable<void> forward(lane& from, tcp::socket& to)
    {
        while (to.is_open())
        {
            if (from.waiting.empty())
            {
                from.wake.expires_at(base::instant::max());
                co_await from.wake.async_wait(use_tuple);
                continue;
            }
            if (from.waiting.front().due > base::monotonic_clock::now())
            {
                from.wake.expires_at(from.waiting.front().due);
                co_await from.wake.async_wait(use_tuple);
                continue;
            }
            const auto next = std::move(from.waiting.front());
            from.waiting.pop_front();
            if (next.bytes.empty())
            {
                boost::system::error_code ignored;
                to.shutdown(tcp::socket::shutdown_send, ignored);
                co_return;
            }
            auto [failure, size] = co_await asio::async_write(
                to, asio::buffer(next.bytes), use_tuple);
            if (failure)
            {
                close();
                co_return;
            }
        }
    }

    relay& owner_;
    tcp::socket caller_;
    tcp::socket target_;
    lane onward_;
    lane back_;
    bool silent_;
};

relay::relay(
    asio::io_context& context,
    base::endpoint listen,
    base::endpoint target,
    std::uint64_t seed)
    : context_{context}, listen_{std::move(listen)}, target_{std::move(target)},
      random_{seed}, acceptor_{context}
{
}

relay::~relay() = default;

std::chrono::microseconds relay::sending_time(std::size_t bytes) const
{
    constexpr std::int64_t us_per_s = 1'000'000;
    if (faults_.bytes_per_s == 0)
    {
        return {};
    }
    return std::chrono::microseconds{
        static_cast<std::int64_t>(bytes) * us_per_s / faults_.bytes_per_s};
}

std::chrono::microseconds relay::next_delay()
{
    auto delay = faults_.delay_us;
    if (faults_.jitter_us > 0)
    {
        delay += std::uniform_int_distribution<std::int64_t>{
            0, faults_.jitter_us}(random_);
    }
    return std::chrono::microseconds{delay};
}

base::result<void> relay::start()
{
    if (acceptor_.is_open())
    {
        return base::success();
    }
    boost::system::error_code failure;
    acceptor_.open(tcp::v4(), failure);
    acceptor_.set_option(tcp::acceptor::reuse_address{true}, failure);
    acceptor_.bind(to_tcp(listen_), failure);
    if (!failure)
    {
        acceptor_.listen(listen_backlog, failure);
    }
    if (failure)
    {
        return base::fail(
            base::result_code::address_in_use, to_string(listen_));
    }
    asio::co_spawn(context_, accept_loop(), asio::detached);
    return base::success();
}

asio::awaitable<void> relay::accept_loop()
{
    while (acceptor_.is_open())
    {
        auto [failure, socket] = co_await acceptor_.async_accept(use_tuple);
        if (failure)
        {
            continue;
        }
        const auto one = std::make_shared<session>(*this, std::move(socket));
        sessions_.insert(one);
        asio::co_spawn(
            context_,
            one->run(),
            [this, one](const std::exception_ptr&) { sessions_.erase(one); });
    }
}

void relay::silence_existing()
{
    for (const auto& one : sessions_)
    {
        one->silence();
    }
}

void relay::cut()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& one : sessions_)
    {
        one->close();
    }
}

} // namespace waxwingvalve::stand_ins
