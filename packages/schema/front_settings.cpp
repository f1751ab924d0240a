#include "schema/front_settings.hpp"

#include <span>

#include <fmt/format.h>

#include "base/time.hpp"
#include "schema/generated/front_settings_bfbs_generated.h"
#include "schema/generated/front_settings_generated.h"
#include "schema/json_reader.hpp"

namespace waxwingvalve::schema
{
namespace
{

using base::fail;
using base::result;
using base::result_code;

constexpr std::uint32_t known_schema_version = 1;
constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
// The daemon alone, with tables of a large fleet.
constexpr std::uint32_t least_memory_mb = 32;

auto invalid(
    std::string_view path, std::string_view expected, std::string_view found)
{
    return fail(
        result_code::settings_invalid,
        fmt::format("{}: expected {}, found \"{}\"", path, expected, found));
}

result<base::endpoint> endpoint_at(
    std::string_view path, const std::string& text)
{
    auto parsed = base::parse_endpoint(text);
    if (!parsed)
    {
        return invalid(path, "an IP number and a port", text);
    }
    return parsed;
}

result<std::chrono::milliseconds> time_at(
    std::string_view path, const std::string& text)
{
    const auto parsed = base::parse_time(text);
    if (!parsed || parsed->count() <= 0)
    {
        return invalid(path, "a time such as \"250ms\" or \"2.5s\"", text);
    }
    return *parsed;
}

result<base::log_level> level_at(std::string_view path, const std::string& text)
{
    if (text.empty() || text == "info")
    {
        return base::log_level::info;
    }
    if (text == "debug")
    {
        return base::log_level::debug;
    }
    if (text == "warning")
    {
        return base::log_level::warning;
    }
    if (text == "error")
    {
        return base::log_level::error;
    }
    return invalid(path, "debug, info, warning or error", text);
}

result<void> read_addresses(
    const wire::front_settingsT& in, front_settings& out)
{
    BOOST_OUTCOME_TRY(
        out.caller_address, endpoint_at("caller_address", in.caller_address));
    BOOST_OUTCOME_TRY(
        out.readiness_address,
        endpoint_at("readiness_address", in.readiness_address));
    BOOST_OUTCOME_TRY(
        out.lookup_address, endpoint_at("lookup_address", in.lookup_address));
    BOOST_OUTCOME_TRY(
        out.control_address,
        endpoint_at("control_address", in.control_address));
    BOOST_OUTCOME_TRY(
        out.store_address, endpoint_at("store_address", in.store_address));
    if (in.peer_port == 0)
    {
        return invalid("peer_port", "a port", "0");
    }
    out.peer_address = {out.caller_address.address, in.peer_port};
    for (const auto& seed : in.seeds)
    {
        BOOST_OUTCOME_TRY(auto where, endpoint_at("seeds", seed));
        out.seeds.push_back(std::move(where));
    }
    return base::success();
}

result<void> read_bounds(const wire::front_settingsT& in, front_settings& out)
{
    BOOST_OUTCOME_TRY(
        out.lookup_lifetime, time_at("lookup_lifetime", in.lookup_lifetime));
    BOOST_OUTCOME_TRY(out.stop_time, time_at("stop_time", in.stop_time));
    BOOST_OUTCOME_TRY(
        out.retry_window, time_at("retry_window", in.retry_window));
    if (!in.worker_report_interval.empty())
    {
        BOOST_OUTCOME_TRY(
            out.worker_report_interval,
            time_at("worker_report_interval", in.worker_report_interval));
    }
    if (in.retry_ratio < 0 || in.retry_ratio > 1)
    {
        return invalid(
            "retry_ratio", "0 to 1", fmt::format("{}", in.retry_ratio));
    }
    if (in.retry_allowance < 0)
    {
        return invalid(
            "retry_allowance",
            "0 or more",
            fmt::format("{}", in.retry_allowance));
    }
    if (in.region_step <= 0 || in.region_step > 1)
    {
        return invalid(
            "region_step",
            "more than 0, up to 1",
            fmt::format("{}", in.region_step));
    }
    out.retry_ratio = in.retry_ratio;
    out.retry_allowance = in.retry_allowance;
    out.region_step = in.region_step;
    return base::success();
}

result<void> read_memory(const wire::front_settingsT& in, front_settings& out)
{
    if (in.memory_mb > 0 && in.memory_mb < least_memory_mb)
    {
        return invalid(
            "memory_mb",
            fmt::format("0, or {} or more", least_memory_mb),
            fmt::format("{}", in.memory_mb));
    }
    out.body_memory_bytes = std::uint64_t{in.body_memory_mb} * bytes_per_mb;
    out.memory_bytes = std::uint64_t{in.memory_mb} * bytes_per_mb;
    out.max_answer_bytes = std::uint64_t{in.max_answer_mb} * bytes_per_mb;
    out.worker_answer_bytes =
        std::uint64_t{in.worker_answers_mb} * bytes_per_mb;
    out.caller_bytes = std::uint64_t{in.caller_mb} * bytes_per_mb;
    out.max_connections = in.max_connections;
    return base::success();
}

result<void> read_accounts(const wire::front_settingsT& in, front_settings& out)
{
    if (!in.revocation_time.empty())
    {
        BOOST_OUTCOME_TRY(
            out.revocation_time,
            time_at("revocation_time", in.revocation_time));
    }
    if (!in.quota_window.empty())
    {
        BOOST_OUTCOME_TRY(
            out.quota_window, time_at("quota_window", in.quota_window));
    }
    if (in.quota_overshoot < 0 || in.quota_overshoot > 1)
    {
        return invalid(
            "quota_overshoot", "0 to 1", fmt::format("{}", in.quota_overshoot));
    }
    if (in.quota_slack < 0)
    {
        return invalid(
            "quota_slack", "0 or more", fmt::format("{}", in.quota_slack));
    }
    out.strict_revocation = in.strict_revocation;
    out.quota_overshoot = in.quota_overshoot;
    out.quota_slack = in.quota_slack;
    return base::success();
}

result<void> read_places(const wire::front_settingsT& in, front_settings& out)
{
    out.name = in.name;
    out.region = in.region;
    out.zone = in.zone;
    for (const auto& place : in.zones)
    {
        out.zones[place->zone] = place->region;
    }
    const auto own = out.zones.find(out.zone);
    if (out.name.empty())
    {
        return invalid("name", "a name", in.name);
    }
    if (own == out.zones.end() || own->second != out.region)
    {
        return invalid("zones", "the daemon's own zone and region", in.zone);
    }
    return base::success();
}

} // namespace

result<front_settings> parse_front_settings(std::string_view json)
{
    using schema = wire::front_settingsBinarySchema;
    BOOST_OUTCOME_TRY(
        const auto bytes,
        read_json(
            {{schema::data(), schema::size()},
             "waxwingvalve.wire.front_settings"},
            json));
    wire::front_settingsT in;
    flatbuffers::GetRoot<wire::front_settings>(bytes.data())->UnPackTo(&in);
    if (in.schema_version != known_schema_version)
    {
        return invalid(
            "schema_version",
            fmt::format("{}", known_schema_version),
            fmt::format("{}", in.schema_version));
    }
    front_settings out;
    BOOST_OUTCOME_TRY(read_places(in, out));
    BOOST_OUTCOME_TRY(read_addresses(in, out));
    BOOST_OUTCOME_TRY(read_bounds(in, out));
    BOOST_OUTCOME_TRY(read_memory(in, out));
    BOOST_OUTCOME_TRY(read_accounts(in, out));
    BOOST_OUTCOME_TRY(out.log_level, level_at("log_level", in.log_level));
    return out;
}

} // namespace waxwingvalve::schema
