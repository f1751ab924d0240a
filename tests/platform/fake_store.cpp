#include "platform/fake_store.hpp"

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

// Stands for the value of a row of put_encoded() until it is sent.
constexpr std::string_view encoded_marker = "encoded-marker";
constexpr std::string_view marker_base64 = "ZW5jb2RlZC1tYXJrZXI=";

constexpr std::size_t oversized_bytes = 8 * 1024 * 1024;
constexpr std::chrono::milliseconds poll_interval{10};
// Longer than the request timeout of the store's clients.
constexpr std::chrono::seconds no_response_delay{10};

asio::awaitable<void> sleep_for(std::chrono::milliseconds duration)
{
    asio::steady_timer timer{co_await asio::this_coro::executor};
    timer.expires_after(duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

net::http_response make_status_response(unsigned status)
{
    net::http_response response;
    response.status = status;
    return response;
}

std::string query_parameter(
    const net::http_request& request, std::string_view name)
{
    return net::query_value(request.target, name).value_or(std::string{});
}

} // namespace

fake_store::fake_store(asio::io_context& loop) : loop_{loop}
{
    net::server_handlers handlers;
    handlers.fast =
        [](const net::http_request&) -> std::optional<net::http_response>
    { return std::nullopt; };
    handlers.route = [this](net::http_request request)
    { return handle_request(std::move(request)); };
    handlers.refuse = [](const base::error& reason)
    { return net::make_refusal(reason, net::outcome::not_run); };
    server_ = std::make_unique<net::http_server>(
        loop_, net::server_limits{}, std::move(handlers));
    tcp::acceptor probe{loop_, {asio::ip::address_v4::loopback(), 0}};
    address_ = {"127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    if (!server_->listen(address_))
    {
        throw std::runtime_error{"the fake store cannot listen on its port"};
    }
}

void fake_store::put(
    const std::string& table, const std::string& key, const std::string& value)
{
    tables_[table][key] = {key, value, ++version_, false};
}

void fake_store::put_encoded(
    const std::string& table,
    const std::string& key,
    const std::string& encoded)
{
    encoded_value_ = encoded;
    put(table, key, std::string{encoded_marker});
}

void fake_store::remove(const std::string& table, const std::string& key)
{
    tables_[table][key] = {key, {}, ++version_, true};
}

std::map<std::string, std::string> fake_store::values(
    const std::string& table) const
{
    std::map<std::string, std::string> present;
    if (const auto found = tables_.find(table); found != tables_.end())
    {
        for (const auto& [key, row] : found->second)
        {
            if (!row.deleted)
            {
                present[key] = row.value;
            }
        }
    }
    return present;
}

void fake_store::restore()
{
    tables_ = copy_.rows;
    version_ = copy_.version;
    ++era_;
}

net::http_response fake_store::with_era(net::http_response response) const
{
    net::set_field(response.fields, "Store-Era", std::to_string(era_));
    for (auto at = response.body.find(marker_base64); at != std::string::npos;
         at = response.body.find(marker_base64))
    {
        response.body.replace(at, marker_base64.size(), encoded_value_);
    }
    return response;
}

net::http_response fake_store::list_rows(const std::string& table) const
{
    platform::table_response response{.version = version_};
    if (const auto found = tables_.find(table); found != tables_.end())
    {
        for (const auto& [key, row] : found->second)
        {
            if (!row.deleted)
            {
                response.rows.push_back(row);
            }
        }
    }
    return net::make_json(platform::format_rows(response, nullptr));
}

asio::awaitable<net::http_response> fake_store::wait_for_changes(
    std::string table, std::uint64_t after, std::chrono::milliseconds max_wait)
{
    const auto deadline = std::chrono::steady_clock::now() + max_wait;
    const auto era = era_;
    for (;;)
    {
        if (after > version_ || era != era_)
        {
            co_return make_status_response(410);
        }
        platform::table_response response{.version = version_};
        for (const auto& [key, row] : tables_[table])
        {
            if (row.version > after)
            {
                response.rows.push_back(row);
            }
        }
        const bool timed_out = std::chrono::steady_clock::now() >= deadline;
        if (!response.rows.empty() || timed_out || fault_ != store_fault::none)
        {
            std::ranges::sort(response.rows, {}, &store::mirrored_row::version);
            co_return net::make_json(platform::format_rows(response, nullptr));
        }
        co_await sleep_for(poll_interval);
    }
}

asio::awaitable<std::optional<net::http_response>> fake_store::handle_request(
    net::http_request request)
{
    auto response = co_await answer(std::move(request));
    if (!response)
    {
        co_return std::nullopt;
    }
    co_return with_era(std::move(*response));
}

asio::awaitable<std::optional<net::http_response>> fake_store::answer(
    net::http_request request)
{
    ++request_count_;
    const bool is_feed = request.target.find("rows-feed") != std::string::npos;
    const auto part = "table=" + unavailable_table_ + "&";
    if (!unavailable_table_.empty() &&
        request.target.find(part) != std::string::npos)
    {
        co_return make_status_response(503);
    }
    switch (fault_)
    {
    case store_fault::unavailable:
        co_return make_status_response(503);
    case store_fault::too_many_requests:
        co_return make_status_response(429);
    case store_fault::connection_closed:
        co_return std::nullopt;
    case store_fault::no_response:
        co_await sleep_for(no_response_delay);
        co_return std::nullopt;
    case store_fault::invalid_json:
        co_return net::make_json("\x01");
    case store_fault::oversized:
        co_return net::make_json(std::string(oversized_bytes, ' '));
    case store_fault::history_gone:
        if (is_feed)
        {
            co_return make_status_response(410);
        }
        break;
    case store_fault::none:
        break;
    }
    const auto table = query_parameter(request, "table");
    if (!is_feed)
    {
        co_return list_rows(table);
    }
    const auto after = std::stoull(query_parameter(request, "after"));
    const std::chrono::milliseconds max_wait{
        std::stoi(query_parameter(request, "wait_ms"))};
    co_return co_await wait_for_changes(table, after, max_wait);
}

} // namespace waxwingvalve::tests
