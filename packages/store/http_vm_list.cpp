#include "store/http_vm_list.hpp"

#include <optional>

#include <boost/json.hpp>

#include "base/time.hpp"
#include "net/http_client.hpp"
#include "store/platform_errors.hpp"

namespace waxwingvalve::store
{
namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using base::result_code;

std::optional<std::string> find_string(
    const json::object& in, std::string_view key)
{
    const auto* value = in.if_contains(key);
    if (value == nullptr || !value->is_string())
    {
        return std::nullopt;
    }
    return std::string{value->get_string()};
}

base::result<vm> parse_vm(const json::value& in)
{
    const auto* object = in.if_object();
    if (object == nullptr)
    {
        return base::fail(result_code::platform_answer_invalid, "vm");
    }
    const auto name = find_string(*object, "name");
    const auto address = find_string(*object, "address");
    const auto zone = find_string(*object, "zone");
    const auto role = find_string(*object, "role");
    const auto state = find_string(*object, "state");
    if (!name || !address || !zone || !role || !state)
    {
        return base::fail(result_code::platform_answer_invalid, "vm field");
    }
    return vm{
        *name,
        *address,
        *zone,
        *role == "entry" ? vm_role::entry : vm_role::upstream,
        *state == "leaving" ? vm_state::leaving : vm_state::live};
}

} // namespace

asio::awaitable<base::result<std::vector<vm>>> http_vm_list::read()
{
    // Named, because GCC 12 destroys such a temporary twice in a coroutine.
    net::http_request request{.method = "GET", .target = "/v1/vms"};
    const auto response = co_await net::fetch(
        endpoint_, std::move(request), base::monotonic_clock::now() + timeout_);
    if (!response)
    {
        co_return boost::outcome_v2::failure(
            detail::read_error(response.error()));
    }
    if (response.value().status != detail::status_ok)
    {
        co_return detail::refused_error(response.value());
    }
    boost::system::error_code failure;
    const auto parsed = json::parse(response.value().body, failure);
    const auto* object = parsed.if_object();
    const auto* vms = object ? object->if_contains("vms") : nullptr;
    if (failure || vms == nullptr || !vms->is_array())
    {
        co_return base::fail(result_code::platform_answer_invalid, "vms");
    }
    std::vector<vm> out;
    for (const auto& entry : vms->get_array())
    {
        auto one = parse_vm(entry);
        if (!one)
        {
            co_return boost::outcome_v2::failure(one.error());
        }
        out.push_back(std::move(one).value());
    }
    co_return out;
}

} // namespace waxwingvalve::store
