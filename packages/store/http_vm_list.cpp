// HTTP client of the platform's VM list.
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
    const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (value == nullptr || !value->is_string())
    {
        return std::nullopt;
    }
    return std::string{value->get_string()};
}

base::result<vm> parse_vm(const json::value& json_value)
{
    const auto* object = json_value.if_object();
    if (object == nullptr)
    {
        return base::fail(
            result_code::platform_answer_invalid, "VM is not a JSON object");
    }
    const auto name = find_string(*object, "name");
    const auto address = find_string(*object, "address");
    const auto zone = find_string(*object, "zone");
    const auto role = find_string(*object, "role");
    const auto state = find_string(*object, "state");
    if (!name || !address || !zone || !role || !state)
    {
        return base::fail(
            result_code::platform_answer_invalid,
            "a VM field is missing or not a string");
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
    // Named variable: GCC 12 destroys a temporary request twice in a coroutine.
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
    boost::system::error_code parse_error;
    const auto parsed = json::parse(response.value().body, parse_error);
    const auto* object = parsed.if_object();
    const auto* vms = object ? object->if_contains("vms") : nullptr;
    if (parse_error || vms == nullptr || !vms->is_array())
    {
        co_return base::fail(
            result_code::platform_answer_invalid, "no JSON array \"vms\"");
    }
    std::vector<vm> parsed_vms;
    for (const auto& entry : vms->get_array())
    {
        auto parsed_vm = parse_vm(entry);
        if (!parsed_vm)
        {
            co_return boost::outcome_v2::failure(parsed_vm.error());
        }
        parsed_vms.push_back(std::move(parsed_vm).value());
    }
    co_return parsed_vms;
}

} // namespace waxwingvalve::store
