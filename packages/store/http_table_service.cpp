// HTTP client of the platform's table service.
#include "store/http_table_service.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include "base/time.hpp"
#include "net/http_client.hpp"
#include "net/http_message.hpp"
#include "store/platform_errors.hpp"

namespace waxwingvalve::store
{
namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using base::result_code;

base::result<table_row> parse_row(const json::value& json_value)
{
    const auto* object = json_value.if_object();
    const auto* key = object ? object->if_contains("key") : nullptr;
    const auto* value = object ? object->if_contains("value") : nullptr;
    const auto* version = object ? object->if_contains("version") : nullptr;
    if (key == nullptr || value == nullptr || version == nullptr ||
        !key->is_string() || !value->is_string() || !version->is_int64())
    {
        return base::fail(result_code::platform_answer_invalid, "row");
    }
    return table_row{
        std::string{key->get_string()},
        std::string{value->get_string()},
        static_cast<std::uint64_t>(version->get_int64())};
}

base::result<std::vector<table_row>> parse_rows(const std::string& body)
{
    boost::system::error_code parse_error;
    const auto parsed = json::parse(body, parse_error);
    const auto* object = parsed.if_object();
    const auto* rows = object ? object->if_contains("rows") : nullptr;
    if (parse_error || rows == nullptr || !rows->is_array())
    {
        return base::fail(result_code::platform_answer_invalid, "rows");
    }
    std::vector<table_row> parsed_rows;
    for (const auto& row_json : rows->get_array())
    {
        BOOST_OUTCOME_TRY(auto row, parse_row(row_json));
        parsed_rows.push_back(std::move(row));
    }
    return parsed_rows;
}

std::string serialize_transaction(const transaction& change)
{
    json::array conditions;
    for (const auto& [table, key, version] : change.conditions)
    {
        conditions.push_back(
            {{"table", table}, {"key", key}, {"version", version}});
    }
    json::array writes;
    for (const auto& [table, key, value] : change.writes)
    {
        json::object write{{"table", table}, {"key", key}};
        write["value"] = value ? json::value(*value) : json::value(nullptr);
        writes.push_back(std::move(write));
    }
    return json::serialize(json::object{
        {"conditions", std::move(conditions)}, {"writes", std::move(writes)}});
}

net::http_request get_request(std::string target)
{
    return {.method = "GET", .target = std::move(target)};
}

} // namespace

asio::awaitable<base::result<std::optional<table_row>>>
http_table_service::read(std::string_view table, std::string_view key)
{
    const auto target = fmt::format(
        "/v1/tables/{}/rows?key={}", table, net::percent_encode(key));
    const auto response = co_await net::fetch(
        endpoint_,
        get_request(target),
        base::monotonic_clock::now() + timeout_);
    if (!response)
    {
        co_return boost::outcome_v2::failure(
            detail::read_error(response.error()));
    }
    if (response.value().status == detail::status_not_found)
    {
        co_return std::optional<table_row>{};
    }
    if (response.value().status != detail::status_ok)
    {
        co_return detail::refused_error(response.value());
    }
    boost::system::error_code parse_error;
    auto row = parse_row(json::parse(response.value().body, parse_error));
    if (!row)
    {
        co_return boost::outcome_v2::failure(row.error());
    }
    co_return std::optional<table_row>{std::move(row).value()};
}

asio::awaitable<base::result<std::vector<table_row>>> http_table_service::scan(
    std::string_view table, std::string_view prefix)
{
    const auto target = fmt::format(
        "/v1/tables/{}/rows?prefix={}", table, net::percent_encode(prefix));
    const auto response = co_await net::fetch(
        endpoint_,
        get_request(target),
        base::monotonic_clock::now() + timeout_);
    if (!response)
    {
        co_return boost::outcome_v2::failure(
            detail::read_error(response.error()));
    }
    if (response.value().status != detail::status_ok)
    {
        co_return detail::refused_error(response.value());
    }
    co_return parse_rows(response.value().body);
}

asio::awaitable<base::result<void>> http_table_service::commit(
    const transaction& change)
{
    net::http_request request{
        .method = "POST",
        .target = "/v1/transactions",
        .body = serialize_transaction(change)};
    const auto response = co_await net::fetch(
        endpoint_, std::move(request), base::monotonic_clock::now() + timeout_);
    if (!response)
    {
        co_return boost::outcome_v2::failure(
            detail::write_error(response.error()));
    }
    if (response.value().status == detail::status_conflict)
    {
        co_return base::fail(
            result_code::platform_conflict, response.value().body);
    }
    if (response.value().status != detail::status_ok)
    {
        co_return detail::refused_error(response.value());
    }
    co_return base::success();
}

} // namespace waxwingvalve::store
