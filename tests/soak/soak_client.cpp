#include "soak/soak_client.hpp"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "base/number.hpp"

namespace waxwingvalve::soak
{

namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
// A caller takes a request without an answer for lost after this.
constexpr std::chrono::milliseconds caller_time{3'000};

} // namespace

client_connection::client_connection(asio::io_context& loop)
    : socket_{loop}, timer_{loop}
{
}

void client_connection::close()
{
    error_code ignored;
    socket_.close(ignored);
}

asio::awaitable<std::optional<client_answer>> client_connection::ask(
    base::endpoint where, std::string request)
{
    timer_.expires_after(caller_time);
    timer_.async_wait(
        [this](const error_code& cancelled)
        {
            if (!cancelled)
            {
                close();
            }
        });
    auto answer = co_await exchange(std::move(where), std::move(request));
    timer_.cancel();
    if (!answer || value_of(answer->head, "Connection") == "close")
    {
        close();
    }
    co_return answer;
}

asio::awaitable<std::optional<client_answer>> client_connection::exchange(
    base::endpoint where, std::string request)
{
    if (!socket_.is_open())
    {
        bytes_.clear();
        const tcp::endpoint target{
            asio::ip::make_address(where.address), where.port};
        const auto [refused] =
            co_await socket_.async_connect(target, use_tuple);
        if (refused)
        {
            co_return std::nullopt;
        }
    }
    const auto [unsent, sent] =
        co_await asio::async_write(socket_, asio::buffer(request), use_tuple);
    if (unsent)
    {
        co_return std::nullopt;
    }
    const auto [no_head, head_size] = co_await asio::async_read_until(
        socket_, asio::dynamic_buffer(bytes_), "\r\n\r\n", use_tuple);
    if (no_head)
    {
        co_return std::nullopt;
    }
    client_answer answer{.head = bytes_.substr(0, head_size)};
    bytes_.erase(0, head_size);
    answer.status =
        base::parse_number<unsigned>(answer.head.substr(9, 3)).value_or(0);
    const auto size =
        base::parse_number<std::size_t>(value_of(answer.head, "Content-Length"))
            .value_or(0);
    const auto missing = size - std::min(size, bytes_.size());
    const auto [no_body, read] = co_await asio::async_read(
        socket_,
        asio::dynamic_buffer(bytes_),
        asio::transfer_exactly(missing),
        use_tuple);
    if (no_body)
    {
        co_return std::nullopt;
    }
    answer.body = bytes_.substr(0, size);
    bytes_.erase(0, size);
    answer.surplus = !bytes_.empty();
    co_return answer;
}

soak_caller::soak_caller(
    asio::io_context& loop,
    const std::vector<std::unique_ptr<soak_daemon>>& daemons,
    ledger& seen,
    std::uint64_t seed)
    : loop_{loop}, daemons_{daemons}, seen_{seen}, random_{seed},
      keeps_connection_{random_() % 2 == 0}, connection_{loop}, timer_{loop}
{
}

void soak_caller::start()
{
    asio::co_spawn(loop_, run(), asio::detached);
}

asio::awaitable<void> soak_caller::run()
{
    while (!stopped_)
    {
        co_await ask_once();
        if (!keeps_connection_)
        {
            connection_.close();
        }
        timer_.expires_after(20ms);
        co_await timer_.async_wait(use_tuple);
    }
}

asio::awaitable<void> soak_caller::ask_once()
{
    std::uniform_int_distribution<std::size_t> pick{0, daemons_.size() - 1};
    auto where = daemons_[pick(random_)]->callers();
    const auto id = fmt::format("{:016x}", random_());
    const bool idempotent = random_() % 2 == 0;
    seen_.attempts[id] = {
        .idempotent = idempotent, .sent_at = base::monotonic_clock::now()};
    auto request = fmt::format(
        "{} /{}/ HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\nCookie: "
        "X-Waxwingvalve-Affinity-Key={}\r\nX-Waxwingvalve-Request-Deadline: "
        "2000\r\n{}\r\n",
        idempotent ? "GET" : "POST",
        idempotent ? "safe" : "unsafe",
        attempt_field,
        id,
        random_() % 20,
        idempotent ? "" : "Content-Length: 0\r\n");
    const auto answer =
        co_await connection_.ask(std::move(where), std::move(request));
    if (answer)
    {
        note_answer(id, *answer);
    }
}

void soak_caller::note_answer(
    const std::string& id, const client_answer& answer)
{
    seen_.attempts[id].status = answer.status;
    const bool own = !value_of(answer.head, signature_field).empty();
    const bool wrong = answer.status == 200 && (!own || answer.body != id);
    if (wrong || answer.surplus || answer.status == 0)
    {
        seen_.broken.push_back("wrong answer: " + id);
    }
}

} // namespace waxwingvalve::soak
