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
#include "harness/loopback.hpp"
#include "stand_ins/endless_answer.hpp"

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
// Callers share a few IP numbers, behind those of the daemons.
constexpr int first_host = 220;
constexpr int hosts = 8;
constexpr unsigned large_one_in = 8;
constexpr std::size_t large_bytes = 2 * 1024 * 1024;

} // namespace

client_connection::client_connection(asio::io_context& loop, std::string host)
    : socket_{loop}, timer_{loop}, host_{std::move(host)}
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
        socket_.open(tcp::v4());
        socket_.bind({asio::ip::make_address(host_), 0});
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
    int number,
    const std::vector<std::unique_ptr<soak_daemon>>& daemons,
    ledger& seen,
    std::uint64_t seed)
    : loop_{loop}, daemons_{daemons}, seen_{seen}, random_{seed},
      account_{account_of(number)}, keeps_connection_{random_() % 2 == 0},
      connection_{loop, tests::own_host(first_host + number % hosts)}, timer_{
                                                                           loop}
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

std::size_t soak_caller::draw_body_bytes()
{
    const bool large = base::monotonic_clock::now() < uploads_until_ &&
                       random_() % large_one_in == 0;
    return large ? large_bytes : 0;
}

asio::awaitable<void> soak_caller::ask_once()
{
    if (!connection_.is_open())
    {
        std::uniform_int_distribution<std::size_t> pick{0, daemons_.size() - 1};
        daemon_ = pick(random_);
    }
    auto where = daemons_[daemon_]->callers();
    const auto id = fmt::format("{:016x}", random_());
    const bool idempotent = random_() % 2 == 0;
    seen_.attempts[id] = {
        .idempotent = idempotent,
        .daemon = daemons_[daemon_]->number(),
        .account = std::string{account_.name},
        .sent_at = base::monotonic_clock::now()};
    const auto body_bytes = idempotent ? 0 : draw_body_bytes();
    auto request = fmt::format(
        "{} /{}/ HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\nCookie: "
        "X-Waxwingvalve-Affinity-Key={}\r\nX-Waxwingvalve-Request-Deadline: "
        "2000\r\n{}: of-the-caller\r\n{}{}\r\n{}",
        idempotent ? "GET" : "POST",
        idempotent ? "safe" : "unsafe",
        attempt_field,
        id,
        random_() % 20,
        account_field,
        key_field(account_),
        idempotent ? "" : fmt::format("Content-Length: {}\r\n", body_bytes),
        std::string(body_bytes, 'u'));
    const auto answer =
        co_await connection_.ask(std::move(where), std::move(request));
    seen_.attempts[id].ended_at = base::monotonic_clock::now();
    if (answer)
    {
        note_answer(id, *answer);
    }
}

void soak_caller::note_answer(
    const std::string& id, const client_answer& answer)
{
    auto& record = seen_.attempts[id];
    record.status = answer.status;
    const bool own = !value_of(answer.head, signature_field).empty();
    // The close of the path to a worker makes a whole answer of a body that
    // ends with the connection.
    const bool cut_body = record.body_until_close &&
                          answer.body.find_first_not_of(
                              stand_ins::endless_content) == std::string::npos;
    const bool wrong =
        answer.status == 200 && (!own || (answer.body != id && !cut_body));
    if (wrong || answer.surplus || answer.status == 0)
    {
        seen_.broken.push_back(fmt::format(
            "wrong answer to {}: {}, {} bytes: {:.40}",
            id,
            answer.status,
            answer.body.size(),
            answer.body));
    }
}

} // namespace waxwingvalve::soak
