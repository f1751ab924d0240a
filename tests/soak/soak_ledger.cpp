#include "soak/soak_ledger.hpp"

#include <memory>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace waxwingvalve::soak
{

namespace asio = boost::asio;
using boost::system::error_code;

std::string value_of(const std::string& head, std::string_view field)
{
    const auto at = head.find(fmt::format("{}: ", field));
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = at + field.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

void later(
    asio::io_context& loop,
    std::chrono::milliseconds time,
    std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(loop, time);
    timer->async_wait([timer, action = std::move(action)](const error_code&)
                      { action(); });
}

} // namespace waxwingvalve::soak
