#include "platform/store_stand_in.hpp"

#include <algorithm>
#include <stdexcept>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/answers.hpp"

namespace waxwingvalve::tests
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds poll_time{10};
constexpr std::chrono::seconds longer_than_callers_wait{10};

asio::awaitable<void> sleep_for(std::chrono::milliseconds time)
{
    asio::steady_timer timer{co_await asio::this_coro::executor};
    timer.expires_after(time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

net::http_response status_only(unsigned status)
{
    net::http_response out;
    out.status = status;
    return out;
}

std::string value_in(const net::http_request& request, std::string_view name)
{
    return net::query_value(request.target, name).value_or(std::string{});
}

} // namespace

store_stand_in::store_stand_in(asio::io_context& loop) : loop_{loop}
{
    net::server_handlers handlers;
    handlers.fast =
        [](const net::http_request&) -> std::optional<net::http_response>
    { return std::nullopt; };
    handlers.route = [this](net::http_request request)
    { return answer(std::move(request)); };
    handlers.refuse = [](const base::error& reason)
    { return net::make_refusal(reason, net::outcome::not_run); };
    server_ = std::make_unique<net::http_server>(
        loop_, net::server_limits{}, std::move(handlers));
    tcp::acceptor probe{loop_, {asio::ip::address_v4::loopback(), 0}};
    address_ = {"127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    if (!server_->listen(address_))
    {
        throw std::runtime_error{"the stand-in's port was taken"};
    }
}

void store_stand_in::put(
    const std::string& table, const std::string& key, const std::string& value)
{
    tables_[table][key] = {key, value, ++version_, false};
}

void store_stand_in::remove(const std::string& table, const std::string& key)
{
    tables_[table][key] = {key, {}, ++version_, true};
}

net::http_response store_stand_in::rows_of(const std::string& table) const
{
    platform::table_response out{.version = version_};
    if (const auto found = tables_.find(table); found != tables_.end())
    {
        for (const auto& [key, row] : found->second)
        {
            if (!row.deleted)
            {
                out.rows.push_back(row);
            }
        }
    }
    return net::make_json(platform::format_rows(out));
}

asio::awaitable<net::http_response> store_stand_in::changes_of(
    std::string table, std::uint64_t after, std::chrono::milliseconds wait)
{
    const auto end = std::chrono::steady_clock::now() + wait;
    for (;;)
    {
        platform::table_response out{.version = version_};
        for (const auto& [key, row] : tables_[table])
        {
            if (row.version > after)
            {
                out.rows.push_back(row);
            }
        }
        const bool over = std::chrono::steady_clock::now() >= end;
        if (!out.rows.empty() || over || fault_ != store_fault::none)
        {
            std::ranges::sort(out.rows, {}, &store::mirrored_row::version);
            co_return net::make_json(platform::format_rows(out));
        }
        co_await sleep_for(poll_time);
    }
}

asio::awaitable<std::optional<net::http_response>> store_stand_in::answer(
    net::http_request request)
{
    ++calls_;
    const bool feed = request.target.find("rows-feed") != std::string::npos;
    switch (fault_)
    {
    case store_fault::busy:
        co_return status_only(503);
    case store_fault::too_many:
        co_return status_only(429);
    case store_fault::answer_lost:
        co_return std::nullopt;
    case store_fault::silent:
        co_await sleep_for(longer_than_callers_wait);
        co_return std::nullopt;
    case store_fault::unreadable:
        co_return net::make_json("\x01");
    case store_fault::history_gone:
        if (feed)
        {
            co_return status_only(410);
        }
        break;
    case store_fault::none:
        break;
    }
    const auto table = value_in(request, "table");
    if (!feed)
    {
        co_return rows_of(table);
    }
    const auto after = std::stoull(value_in(request, "after"));
    const std::chrono::milliseconds wait{
        std::stoi(value_in(request, "wait_ms"))};
    co_return co_await changes_of(table, after, wait);
}

} // namespace waxwingvalve::tests
