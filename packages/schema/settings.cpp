#include "schema/settings.hpp"

#include <fstream>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "schema/generated/settings_bfbs_generated.h"
#include "schema/generated/settings_generated.h"
#include "schema/json_reader.hpp"

namespace waxwingvalve::schema
{
namespace
{

using base::fail;
using base::result;
using base::result_code;

constexpr std::uint32_t known_schema_version = 1;

std::span<const std::uint8_t> compiled_schema()
{
    using schema = wire::daemon_settingsBinarySchema;
    return {schema::data(), schema::size()};
}

result<base::endpoint> endpoint_at(
    std::string_view path, const std::string& text)
{
    auto parsed = base::parse_endpoint(text);
    if (!parsed)
    {
        return fail(
            result_code::settings_invalid,
            fmt::format("{}: {}", path, parsed.error().detail));
    }
    return parsed;
}

result<void> check_name(std::string_view path, std::string_view name)
{
    if (name.empty())
    {
        return fail(
            result_code::settings_invalid,
            fmt::format("{}: expected a name, found \"\"", path));
    }
    return base::success();
}

result<void> check_version(std::uint32_t version)
{
    if (version != known_schema_version)
    {
        return fail(
            result_code::settings_invalid,
            fmt::format(
                "schema_version: expected {}, found {}",
                known_schema_version,
                version));
    }
    return base::success();
}

result<platform_settings> to_platform(const wire::platform_settingsT& in)
{
    platform_settings out;
    BOOST_OUTCOME_TRY(
        out.table, endpoint_at("platform.table_address", in.table_address));
    BOOST_OUTCOME_TRY(
        out.object_store,
        endpoint_at("platform.object_address", in.object_address));
    BOOST_OUTCOME_TRY(
        out.vm_list,
        endpoint_at("platform.vm_list_address", in.vm_list_address));
    return out;
}

result<peer_settings> to_peer(
    const wire::peer_settingsT& in, std::size_t position)
{
    const auto path = [&](std::string_view field)
    { return fmt::format("peers[{}].{}", position, field); };
    BOOST_OUTCOME_TRY(check_name(path("name"), in.name));
    BOOST_OUTCOME_TRY(check_name(path("region"), in.region));
    BOOST_OUTCOME_TRY(check_name(path("zone"), in.zone));
    peer_settings out{in.name, in.region, in.zone, {}, {}};
    BOOST_OUTCOME_TRY(
        out.caller_address,
        endpoint_at(path("caller_address"), in.caller_address));
    BOOST_OUTCOME_TRY(
        out.peer_address, endpoint_at(path("peer_address"), in.peer_address));
    return out;
}

result<void> check_peer(const daemon_settings& own, std::size_t position)
{
    const auto& peer = own.peers[position];
    const auto taken = [&](std::string_view field, std::string_view value)
    {
        return fail(
            result_code::settings_invalid,
            fmt::format(
                "peers[{}].{}: expected another one than a daemon before it "
                "has, found \"{}\"",
                position,
                field,
                value));
    };
    if (peer.name == own.name)
    {
        return taken("name", peer.name);
    }
    if (peer.zone == own.zone && peer.region != own.region)
    {
        return fail(
            result_code::settings_invalid,
            fmt::format(
                "peers[{}].region: expected \"{}\", the region of zone "
                "\"{}\", found \"{}\"",
                position,
                own.region,
                own.zone,
                peer.region));
    }
    for (std::size_t before = 0; before < position; ++before)
    {
        const auto& other = own.peers[before];
        if (other.name == peer.name)
        {
            return taken("name", peer.name);
        }
        if (other.caller_address == peer.caller_address)
        {
            return taken("caller_address", to_string(peer.caller_address));
        }
        if (other.peer_address == peer.peer_address)
        {
            return taken("peer_address", to_string(peer.peer_address));
        }
    }
    return base::success();
}

result<void> add_peers(daemon_settings& out, const wire::daemon_settingsT& in)
{
    for (const auto& peer : in.peers)
    {
        const auto position = out.peers.size();
        BOOST_OUTCOME_TRY(auto parsed, to_peer(*peer, position));
        out.peers.push_back(std::move(parsed));
        BOOST_OUTCOME_TRY(check_peer(out, position));
    }
    return base::success();
}

result<void> check_own_addresses(const daemon_settings& own)
{
    const bool distinct = own.caller_address != own.peer_address &&
                          own.caller_address != own.operator_address &&
                          own.peer_address != own.operator_address;
    if (!distinct)
    {
        return fail(
            result_code::settings_invalid,
            fmt::format(
                "operator_address: expected caller, peer and operator "
                "addresses that differ, found \"{}\", \"{}\" and \"{}\"",
                to_string(own.caller_address),
                to_string(own.peer_address),
                to_string(own.operator_address)));
    }
    return base::success();
}

result<void> check_limits(const wire::limit_settingsT& in)
{
    const std::pair<std::string_view, std::uint32_t> limits[] = {
        {"connections", in.connections},
        {"head_bytes", in.head_bytes},
        {"body_bytes", in.body_bytes},
        {"receive_ms", in.receive_ms},
        {"idle_ms", in.idle_ms},
        {"send_ms", in.send_ms}};
    for (const auto& [name, value] : limits)
    {
        if (value == 0)
        {
            return fail(
                result_code::settings_invalid,
                fmt::format("limits.{}: expected 1 or more, found 0", name));
        }
    }
    return base::success();
}

limit_settings to_limits(const wire::limit_settingsT& in)
{
    using std::chrono::milliseconds;
    return {
        .connections = in.connections,
        .head_bytes = in.head_bytes,
        .body_bytes = in.body_bytes,
        .receive_time = milliseconds{in.receive_ms},
        .idle_time = milliseconds{in.idle_ms},
        .send_time = milliseconds{in.send_ms}};
}

result<base::log_level> to_log_level(const std::string& text)
{
    if (text == "debug")
    {
        return base::log_level::debug;
    }
    if (text.empty() || text == "info")
    {
        return base::log_level::info;
    }
    if (text == "warning")
    {
        return base::log_level::warning;
    }
    if (text == "error")
    {
        return base::log_level::error;
    }
    return fail(
        result_code::settings_invalid,
        fmt::format(
            "log_level: expected debug, info, warning or error, found \"{}\"",
            text));
}

} // namespace

result<daemon_settings> parse_daemon_settings(std::string_view json)
{
    BOOST_OUTCOME_TRY(
        const auto buffer,
        read_json(
            {compiled_schema(), "waxwingvalve.wire.daemon_settings"}, json));
    wire::daemon_settingsT in;
    flatbuffers::GetRoot<wire::daemon_settings>(buffer.data())->UnPackTo(&in);

    BOOST_OUTCOME_TRY(check_version(in.schema_version));
    BOOST_OUTCOME_TRY(check_name("name", in.name));
    BOOST_OUTCOME_TRY(check_name("region", in.region));
    BOOST_OUTCOME_TRY(check_name("zone", in.zone));
    daemon_settings out{.name = in.name, .region = in.region, .zone = in.zone};
    BOOST_OUTCOME_TRY(
        out.caller_address, endpoint_at("caller_address", in.caller_address));
    BOOST_OUTCOME_TRY(
        out.peer_address, endpoint_at("peer_address", in.peer_address));
    BOOST_OUTCOME_TRY(
        out.operator_address,
        endpoint_at("operator_address", in.operator_address));
    BOOST_OUTCOME_TRY(out.platform, to_platform(*in.platform));
    BOOST_OUTCOME_TRY(check_own_addresses(out));
    BOOST_OUTCOME_TRY(add_peers(out, in));
    const auto limits = in.limits ? *in.limits : wire::limit_settingsT{};
    BOOST_OUTCOME_TRY(check_limits(limits));
    out.limits = to_limits(limits);
    BOOST_OUTCOME_TRY(out.log_level, to_log_level(in.log_level));
    out.operator_keys_file = in.operator_keys_file;
    return out;
}

result<operator_settings> parse_operator_settings(std::string_view json)
{
    BOOST_OUTCOME_TRY(
        const auto buffer,
        read_json(
            {compiled_schema(), "waxwingvalve.wire.operator_settings"}, json));
    wire::operator_settingsT in;
    flatbuffers::GetRoot<wire::operator_settings>(buffer.data())->UnPackTo(&in);

    BOOST_OUTCOME_TRY(check_version(in.schema_version));
    BOOST_OUTCOME_TRY(check_name("operator", in.operator_));
    operator_settings out{
        .operator_name = in.operator_, .key_file = in.key_file};
    BOOST_OUTCOME_TRY(out.platform, to_platform(*in.platform));
    for (const auto& text : in.daemons)
    {
        const auto path = fmt::format("daemons[{}]", out.daemons.size());
        BOOST_OUTCOME_TRY(auto daemon, endpoint_at(path, text));
        out.daemons.push_back(std::move(daemon));
    }
    return out;
}

result<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
    {
        return fail(result_code::settings_unreadable, path);
    }
    return std::string{
        std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
}

} // namespace waxwingvalve::schema
