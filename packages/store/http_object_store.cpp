// HTTP client of the platform's object store.
#include "store/http_object_store.hpp"

#include "base/time.hpp"
#include "net/http_client.hpp"
#include "net/http_message.hpp"
#include "store/platform_errors.hpp"

namespace waxwingvalve::store
{
namespace
{

namespace asio = boost::asio;

std::string object_target(std::string_view name)
{
    return "/v1/objects?name=" + net::percent_encode(name);
}

} // namespace

asio::awaitable<base::result<std::string>> http_object_store::get(
    std::string_view name)
{
    // Named variable: GCC 12 destroys a temporary request twice in a coroutine.
    net::http_request request{.method = "GET", .target = object_target(name)};
    auto response = co_await net::fetch(
        endpoint_, std::move(request), base::monotonic_clock::now() + timeout_);
    if (!response)
    {
        co_return boost::outcome_v2::failure(
            detail::read_error(response.error()));
    }
    if (response.value().status == detail::status_not_found)
    {
        co_return base::fail(
            base::result_code::object_missing, std::string{name});
    }
    if (response.value().status != detail::status_ok)
    {
        co_return detail::refused_error(response.value());
    }
    co_return std::move(response).value().body;
}

asio::awaitable<base::result<void>> http_object_store::put(
    std::string_view name, std::string bytes)
{
    net::http_request request{
        .method = "PUT",
        .target = object_target(name),
        .body = std::move(bytes)};
    const auto response = co_await net::fetch(
        endpoint_, std::move(request), base::monotonic_clock::now() + timeout_);
    if (!response)
    {
        co_return boost::outcome_v2::failure(
            detail::write_error(response.error()));
    }
    if (response.value().status != detail::status_ok)
    {
        co_return detail::refused_error(response.value());
    }
    co_return base::success();
}

} // namespace waxwingvalve::store
