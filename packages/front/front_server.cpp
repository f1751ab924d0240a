// Listener for callers and periodic timeout checks.
#include "front/front_server.hpp"

#include <vector>

#include "front/retry_after.hpp"
#include "net/answers.hpp"
#include "net/listening.hpp"
#include "net/turn_away.hpp"

namespace waxwingvalve::front
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

// Interval of the timeout checks on client connections and pooled upstream
// connections.
constexpr std::chrono::milliseconds check_interval{500};
// Connections that are accepted at once at the stop: twice the queue's length,
// so that callers who connect without a pause can't hold it up.
constexpr int max_waiting = 2 * net::listen_backlog;

} // namespace

front_server::front_server(serving_context& context)
    : context_{context}, acceptor_{context.loop}, sweep_timer_{context.loop},
      accept_timer_{context.loop}
{
}

front_server::~front_server() = default;

base::result<void> front_server::listen(const base::endpoint& listen_address)
{
    BOOST_OUTCOME_TRY(net::open_listener(acceptor_, listen_address));
    accept();
    check_connections();
    return base::success();
}

void front_server::accept()
{
    acceptor_.async_accept(
        [this](const boost::system::error_code& failure, tcp::socket socket)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            if (failure)
            {
                accept_later();
                return;
            }
            take(std::move(socket));
            accept();
        });
}

void front_server::accept_later()
{
    accept_timer_.expires_after(net::accept_pause);
    accept_timer_.async_wait(
        [this](const boost::system::error_code& cancelled)
        {
            if (!cancelled && acceptor_.is_open())
            {
                accept();
            }
        });
}

void front_server::take(tcp::socket socket)
{
    if (sessions_.size() < max_connections_)
    {
        begin_session(std::move(socket));
        return;
    }
    ++context_.counts.connections_turned_away;
    auto refusal = net::make_refusal(
        {base::result_code::too_many_connections}, net::outcome::not_run);
    set_retry_after(
        refusal, std::to_string(context_.counts.connections_turned_away));
    net::turn_away(std::move(socket), refusal);
}

void front_server::begin_session(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay{true}, ignored);
    boost::system::error_code ended;
    const auto caller = socket.remote_endpoint(ended).address().to_string();
    auto session = std::make_shared<client_session>(
        context_,
        std::move(socket),
        caller,
        [this](const std::shared_ptr<client_session>& closed)
        { sessions_.erase(closed); });
    sessions_.insert(session);
    if (announce_close_)
    {
        session->announce_close();
    }
    session->start();
}

void front_server::check_connections()
{
    sweep_timer_.expires_after(check_interval);
    sweep_timer_.async_wait(
        [this](const boost::system::error_code& cancelled)
        {
            if (cancelled)
            {
                return;
            }
            const auto now = base::monotonic_clock::now();
            // Iterates over a copy: a session that closes removes itself from
            // the set.
            const std::vector<std::shared_ptr<client_session>> sessions(
                sessions_.begin(), sessions_.end());
            for (const auto& session : sessions)
            {
                session->check_timeouts(now);
            }
            context_.pool.close_expired(now);
            check_connections();
        });
}

void front_server::announce_close()
{
    announce_close_ = true;
    for (const auto& session : sessions_)
    {
        session->announce_close();
    }
}

// The kernel resets those that still wait when the acceptor is closed.
void front_server::accept_waiting()
{
    boost::system::error_code failure;
    acceptor_.non_blocking(true, failure);
    for (int i = 0; i < max_waiting && !failure; ++i)
    {
        tcp::socket socket{context_.loop};
        acceptor_.accept(socket, failure);
        if (!failure)
        {
            take(std::move(socket));
        }
    }
}

void front_server::begin_shutdown()
{
    if (acceptor_.is_open())
    {
        accept_waiting();
    }
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    const std::vector<std::shared_ptr<client_session>> sessions(
        sessions_.begin(), sessions_.end());
    for (const auto& session : sessions)
    {
        session->begin_shutdown();
    }
}

void front_server::end_unfinished()
{
    const std::vector<std::shared_ptr<client_session>> sessions(
        sessions_.begin(), sessions_.end());
    for (const auto& session : sessions)
    {
        session->end_unfinished();
    }
}

std::size_t front_server::open_requests() const
{
    std::size_t sum = 0;
    for (const auto& session : sessions_)
    {
        sum += session->open_requests();
    }
    return sum;
}

} // namespace waxwingvalve::front
