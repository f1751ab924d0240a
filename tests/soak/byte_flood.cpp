#include "soak/byte_flood.hpp"

#include "soak/soak_accounts.hpp"

#include <chrono>
#include <random>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "harness/loopback.hpp"
#include "soak/soak_ledger.hpp"

namespace waxwingvalve::soak
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t block_bytes = 64 * 1024;
constexpr std::size_t field_bytes = 1024;
constexpr auto flood_time = 3s;
// Leaves the loop to others.
constexpr auto block_pause = 1ms;
// A client of its own, by IP number.
constexpr int host = 238;

struct flood_bytes
{
    std::string first{};
    std::string block{};
};

std::string noise(std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::string made(block_bytes, '\0');
    for (auto& one : made)
    {
        one = static_cast<char>(random());
    }
    return made;
}

std::string request(std::string_view method, std::string_view fields)
{
    return fmt::format(
        "{} /safe/ HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\n{}{}",
        method,
        attempt_field,
        flood_attempt,
        key_field(accounts.front()),
        fields);
}

flood_bytes bytes_of(flood_kind kind, std::uint64_t seed)
{
    switch (kind)
    {
    case flood_kind::noise:
        return {"", noise(seed)};
    case flood_kind::head:
        return {
            request("GET", ""),
            "X-More: " + std::string(field_bytes, 'x') + "\r\n"};
    case flood_kind::chunks:
        return {
            request("POST", "Transfer-Encoding: chunked\r\n\r\n"),
            fmt::format(
                "{:x}\r\n{}\r\n", block_bytes, std::string(block_bytes, 'x'))};
    case flood_kind::unread:
        return {"", request("GET", "\r\n")};
    case flood_kind::silence:
        break;
    }
    return {};
}

} // namespace

asio::awaitable<void> flood(
    asio::io_context& loop,
    base::endpoint where,
    flood_kind kind,
    std::uint64_t seed)
{
    tcp::socket socket{
        loop, {asio::ip::make_address(tests::own_host(host)), 0}};
    const tcp::endpoint target{
        asio::ip::make_address(where.address), where.port};
    auto [failure] = co_await socket.async_connect(target, use_tuple);
    asio::steady_timer over{loop, flood_time};
    over.async_wait(
        [&socket](const error_code& cancelled)
        {
            if (!cancelled)
            {
                error_code ignored;
                socket.close(ignored);
            }
        });
    const auto bytes = bytes_of(kind, seed);
    std::string next = bytes.first;
    while (!failure)
    {
        const auto [cut, sent] =
            co_await asio::async_write(socket, asio::buffer(next), use_tuple);
        failure = cut;
        next = bytes.block;
        asio::steady_timer pause{loop, next.empty() ? flood_time : block_pause};
        co_await pause.async_wait(use_tuple);
    }
}

} // namespace waxwingvalve::soak
