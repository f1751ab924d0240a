#include "soak/soak_worker.hpp"

#include <algorithm>
#include <stdexcept>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "harness/loopback.hpp"
#include "soak/soak_accounts.hpp"

namespace waxwingvalve::soak
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

// Behind the hosts of the daemons.
constexpr int first_host = 240;
constexpr std::uint16_t relay_port = 18'167;
constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned spoiled_one_in = 5;
// Leaves the loop to others.
constexpr std::chrono::milliseconds block_pause{1};
constexpr std::string_view target_field = "X-Waxwingvalve-Target-Instance";

base::endpoint address_of(const tcp::acceptor& acceptor)
{
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

} // namespace

struct soak_worker::connection
{
    connection(tcp::socket from, asio::io_context& loop)
        : socket{std::move(from)}, timer{loop}
    {
    }

    tcp::socket socket;
    asio::steady_timer timer;
    std::string bytes{};
    std::string answer{};
};

soak_worker::soak_worker(
    asio::io_context& loop,
    int number,
    std::string id,
    ledger& seen,
    std::uint64_t seed)
    : loop_{loop}, number_{number}, id_{std::move(id)}, seen_{seen},
      random_{seed}, acceptor_{loop, {asio::ip::address_v4::loopback(), 0}},
      relay_address_{tests::own_host(first_host + number), relay_port}
{
    relay_ = std::make_unique<stand_ins::relay>(
        loop, relay_address_, address_of(acceptor_), seed);
    if (!relay_->start())
    {
        throw std::runtime_error{"the relay's port was taken"};
    }
    accept();
}

std::string soak_worker::entry() const
{
    return fmt::format(
        R"({{"address":"{}","born":{},"info":{{"service":"desk",)"
        R"("version":"v1","zone":"{}","slots":8}},"status":{{"state":)"
        R"("{}","sequence":{},"cold_remaining":"0ms"}}}})",
        to_string(relay_address_),
        born_,
        zone_of(number_).name,
        state_ == worker_state::draining ? "draining" : "ready",
        state_ == worker_state::draining ? 2 : 1);
}

void soak_worker::end()
{
    state_ = worker_state::ended;
    relay_->cut();
}

void soak_worker::spoil(stand_ins::endless_answer kind, base::instant end)
{
    spoiled_with_ = kind;
    spoiled_until_ = end;
}

bool soak_worker::spoils_now()
{
    return base::monotonic_clock::now() < spoiled_until_ &&
           random_() % spoiled_one_in == 0;
}

asio::awaitable<void> soak_worker::send_without_end(
    std::shared_ptr<connection> to, std::string id)
{
    const auto bytes = stand_ins::make_endless(
        spoiled_with_,
        fmt::format("{}: {}\r\n{}: s\r\n", attempt_field, id, signature_field));
    auto [failure, sent] = co_await asio::async_write(
        to->socket, asio::buffer(bytes.head), use_tuple);
    while (!failure)
    {
        std::tie(failure, sent) = co_await asio::async_write(
            to->socket, asio::buffer(bytes.block), use_tuple);
        to->timer.expires_after(block_pause);
        co_await to->timer.async_wait(use_tuple);
    }
}

void soak_worker::begin_again(std::string id)
{
    relay_->cut();
    id_ = std::move(id);
    ++born_;
    state_ = worker_state::ready;
    open_path();
}

void soak_worker::open_path()
{
    if (state_ != worker_state::ended)
    {
        static_cast<void>(relay_->start());
    }
}

void soak_worker::accept()
{
    acceptor_.async_accept(
        [this](const error_code& failure, tcp::socket socket)
        {
            if (!failure)
            {
                read(std::make_shared<connection>(std::move(socket), loop_));
                accept();
            }
        });
}

void soak_worker::read(const std::shared_ptr<connection>& from)
{
    asio::async_read_until(
        from->socket,
        asio::dynamic_buffer(from->bytes),
        "\r\n\r\n",
        [this, from](const error_code& failure, std::size_t size)
        {
            if (failure)
            {
                return;
            }
            auto head = from->bytes.substr(0, size);
            from->bytes.erase(0, size);
            const auto length = value_of(head, "Content-Length");
            const std::size_t body = length.empty() ? 0 : std::stoul(length);
            const auto missing = body - std::min(body, from->bytes.size());
            asio::async_read(
                from->socket,
                asio::dynamic_buffer(from->bytes),
                asio::transfer_exactly(missing),
                [this, from, body, head = std::move(head)](
                    const error_code& ended, std::size_t)
                {
                    if (!ended)
                    {
                        from->bytes.erase(0, body);
                        serve(from, head);
                    }
                });
        });
}

void soak_worker::serve(
    const std::shared_ptr<connection>& to, const std::string& head)
{
    const auto id = value_of(head, attempt_field);
    const bool mine = value_of(head, target_field) == id_;
    if (mine)
    {
        auto& record = seen_.attempts[id];
        ++record.runs;
        check_account(seen_, id, head);
        seen_.last_run[id_] = base::monotonic_clock::now();
        if (!record.idempotent && record.runs > 1)
        {
            seen_.broken.push_back("ran twice: " + id);
        }
    }
    if (mine && spoils_now())
    {
        seen_.attempts[id].body_until_close =
            spoiled_with_ == stand_ins::endless_answer::body_until_close;
        asio::co_spawn(loop_, send_without_end(to, id), asio::detached);
        return;
    }
    to->answer =
        mine ? fmt::format(
                   "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: s\r\nContent-Length: "
                   "{}\r\n\r\n{}",
                   attempt_field,
                   id,
                   signature_field,
                   id.size(),
                   id)
             : "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
    std::uniform_int_distribution<int> work{5, 60};
    to->timer.expires_after(std::chrono::milliseconds{work(random_)});
    to->timer.async_wait(
        [this, to](const error_code&)
        {
            asio::async_write(
                to->socket,
                asio::buffer(to->answer),
                [this, to](const error_code& failure, std::size_t)
                {
                    if (!failure)
                    {
                        read(to);
                    }
                });
        });
}

} // namespace waxwingvalve::soak
