#include "net/turn_away.hpp"

#include <array>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace waxwingvalve::net
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr int max_unread_reads = 4;

} // namespace

void turn_away(asio::ip::tcp::socket socket, const http_response& refusal)
{
    auto text = fmt::format(
        "HTTP/1.1 {} {}\r\n",
        refusal.status,
        std::string_view{
            http::obsolete_reason(static_cast<http::status>(refusal.status))});
    for (const auto& [name, value] : refusal.fields)
    {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    text += fmt::format(
        "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
        refusal.body.size(),
        refusal.body);
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(text), ignored);
    // Bytes that are unread at the close would reset the connection before the
    // caller has its answer.
    std::array<char, 4 * 1024> unread{};
    boost::system::error_code ended;
    for (int i = 0; i < max_unread_reads && !ended; ++i)
    {
        socket.read_some(asio::buffer(unread), ended);
    }
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

} // namespace waxwingvalve::net
