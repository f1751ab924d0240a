#include "schema/records.hpp"

#include <algorithm>
#include <array>
#include <numeric>
#include <optional>
#include <set>
#include <span>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "schema/generated/records_bfbs_generated.h"
#include "schema/generated/records_generated.h"
#include "schema/json_reader.hpp"

namespace waxwingvalve::schema
{
namespace
{

using base::fail;
using base::result;
using base::result_code;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint32_t percent_whole = 100;
constexpr milliseconds default_entries_ttl{5000};
constexpr std::uint32_t default_retry_percent = 10;
constexpr std::uint32_t default_hedge_percentile = 99;

// What tells which table a text has to be read against.
struct record_head
{
    std::string kind{};
    std::uint32_t schema_version{};
};

result<record_head> read_head(std::string_view json)
{
    boost::system::error_code failure;
    const auto value = boost::json::parse(json, failure);
    if (failure || !value.is_object())
    {
        return fail(
            result_code::record_malformed,
            failure ? failure.message() : "expected a JSON object");
    }
    const auto& object = value.get_object();
    const auto* kind = object.if_contains("kind");
    const auto* version = object.if_contains("schema_version");
    if (kind == nullptr || !kind->is_string())
    {
        return fail(result_code::record_malformed, "kind: expected a string");
    }
    if (version == nullptr || !version->is_int64() || version->get_int64() < 1)
    {
        return fail(
            result_code::record_malformed,
            "schema_version: expected a whole number from 1");
    }
    return record_head{
        std::string{kind->get_string()},
        static_cast<std::uint32_t>(version->get_int64())};
}

auto invalid(std::string detail)
{
    return fail(result_code::record_invalid, std::move(detail));
}

template <class Table>
result<typename Table::NativeTableType> read_table(
    std::string_view table_name, std::string_view json)
{
    using schema = wire::deployment_v1BinarySchema;
    const auto root = fmt::format("waxwingvalve.wire.{}", table_name);
    auto buffer = read_json({{schema::data(), schema::size()}, root}, json);
    if (!buffer)
    {
        return fail(result_code::record_malformed, buffer.error().detail);
    }
    typename Table::NativeTableType out;
    flatbuffers::GetRoot<Table>(buffer.value().data())->UnPackTo(&out);
    return out;
}

result<std::vector<worker>> to_workers(
    std::span<const std::unique_ptr<wire::worker_v1T>> in)
{
    std::vector<worker> out;
    std::set<base::endpoint> seen;
    for (const auto& entry : in)
    {
        const auto path = fmt::format("workers[{}]", out.size());
        auto address = base::parse_endpoint(entry->address);
        if (!address)
        {
            return invalid(path + ".address: " + address.error().detail);
        }
        if (!seen.insert(address.value()).second)
        {
            return invalid(
                path + ".address: named twice: \"" + entry->address + "\"");
        }
        if (entry->slots == 0)
        {
            return invalid(path + ".slots: expected 1 or more, found 0");
        }
        if (entry->zone.empty())
        {
            return invalid(path + ".zone: expected a zone's name, found \"\"");
        }
        out.push_back({std::move(address).value(), entry->zone, entry->slots});
    }
    if (out.empty())
    {
        return invalid("workers: expected one or more, found none");
    }
    return out;
}

std::uint32_t slots_in(std::span<const worker> workers, std::string_view zone)
{
    return std::accumulate(
        workers.begin(),
        workers.end(),
        std::uint32_t{0},
        [&](std::uint32_t sum, const worker& one)
        { return one.zone == zone ? sum + one.slots : sum; });
}

// Version 1 has one cap for the whole service. Each zone gets the part that
// its slots are of all slots, rounded down, so the sum never exceeds the cap.
std::vector<zone_cap> split_cap(
    std::uint32_t cap, std::span<const worker> workers)
{
    std::set<std::string> zones;
    std::uint64_t total{0};
    for (const auto& one : workers)
    {
        zones.insert(one.zone);
        total += one.slots;
    }
    std::vector<zone_cap> out;
    for (const auto& zone : zones)
    {
        const std::uint64_t slots = slots_in(workers, zone);
        const auto part = std::uint64_t{cap} * slots / total;
        out.push_back(
            {zone, static_cast<std::uint32_t>(std::min(part, slots))});
    }
    return out;
}

result<operation> parse_non_idempotent(std::string_view text)
{
    const auto space = text.find(' ');
    if (space == std::string_view::npos || space == 0 ||
        !text.substr(space + 1).starts_with('/'))
    {
        return invalid(fmt::format(
            "non_idempotent: expected \"METHOD /prefix\", found \"{}\"", text));
    }
    operation out;
    out.name = text;
    out.method = text.substr(0, space);
    out.path_prefix = text.substr(space + 1);
    out.idempotent = false;
    out.priority = priority::critical;
    return out;
}

result<record_body> parse_service_v1(std::string_view json)
{
    BOOST_OUTCOME_TRY(
        const auto in, read_table<wire::service_v1>("service_v1", json));
    service out{
        .name = in.name,
        .deadline = milliseconds{in.deadline_ms},
        .entries_ttl = default_entries_ttl,
        .retry_percent = default_retry_percent,
        .hedge_percentile = default_hedge_percentile,
        .retired = in.retired};
    for (const auto& text : in.non_idempotent)
    {
        BOOST_OUTCOME_TRY(auto parsed, parse_non_idempotent(text));
        out.operations.push_back(std::move(parsed));
    }
    BOOST_OUTCOME_TRY(out.workers, to_workers(in.workers));
    if (in.cap != 0)
    {
        out.caps = split_cap(in.cap, out.workers);
    }
    return out;
}

result<operation> to_operation(const wire::operation_v2T& in, std::size_t at)
{
    if (in.method.empty() || !in.path_prefix.starts_with('/'))
    {
        return invalid(fmt::format(
            "operations[{}]: expected a method and a path_prefix that starts "
            "with /, found \"{} {}\"",
            at,
            in.method,
            in.path_prefix));
    }
    operation out;
    out.name = in.name;
    out.method = in.method;
    out.path_prefix = in.path_prefix;
    out.idempotent = in.idempotent;
    out.priority = static_cast<priority>(in.priority);
    out.deadline = milliseconds{in.deadline_ms};
    return out;
}

result<std::vector<zone_cap>> to_caps(
    const wire::service_v2T& in, std::span<const worker> workers)
{
    std::vector<zone_cap> out;
    std::set<std::string> seen;
    for (const auto& cap : in.caps)
    {
        const auto path = fmt::format("caps[{}]", out.size());
        const auto slots = slots_in(workers, cap->zone);
        if (!seen.insert(cap->zone).second)
        {
            return invalid(path + ".zone: named twice: \"" + cap->zone + "\"");
        }
        if (slots == 0)
        {
            return invalid(
                path + ".zone: no worker is in \"" + cap->zone + "\"");
        }
        if (cap->concurrent > slots)
        {
            return invalid(fmt::format(
                "{}.concurrent: expected at most the zone's {} slots, found {}",
                path,
                slots,
                cap->concurrent));
        }
        out.push_back({cap->zone, cap->concurrent});
    }
    return out;
}

result<record_body> parse_service_v2(std::string_view json)
{
    BOOST_OUTCOME_TRY(
        const auto in, read_table<wire::service_v2>("service_v2", json));
    if (in.retry_percent > percent_whole ||
        in.hedge_percentile >= percent_whole)
    {
        return invalid(
            "retry_percent: expected 0 to 100; hedge_percentile: 0 to 99");
    }
    service out{
        .name = in.name,
        .deadline = milliseconds{in.deadline_ms},
        .entries_ttl = milliseconds{in.entries_ttl_ms},
        .retry_percent = in.retry_percent,
        .hedge_percentile = in.hedge_percentile,
        .retired = in.retired};
    for (const auto& entry : in.operations)
    {
        BOOST_OUTCOME_TRY(
            auto parsed, to_operation(*entry, out.operations.size()));
        out.operations.push_back(std::move(parsed));
    }
    BOOST_OUTCOME_TRY(out.workers, to_workers(in.workers));
    BOOST_OUTCOME_TRY(out.caps, to_caps(in, out.workers));
    return out;
}

result<void> check_zone_names(const deployment& one)
{
    std::set<std::string> regions;
    std::set<std::string> zones;
    for (const auto& region : one.regions)
    {
        if (region.name.empty() || !regions.insert(region.name).second)
        {
            return invalid("regions: name empty or twice: " + region.name);
        }
        for (const auto& zone : region.zones)
        {
            if (zone.name.empty() || !zones.insert(zone.name).second)
            {
                return invalid("zones: name empty or twice: " + zone.name);
            }
        }
    }
    for (const auto& link : one.links)
    {
        if (!regions.contains(link.from) || !regions.contains(link.to))
        {
            return invalid(
                "links: undeclared region in " + link.from + " to " + link.to);
        }
    }
    return base::success();
}

result<record_body> parse_deployment_v1(std::string_view json)
{
    BOOST_OUTCOME_TRY(
        const auto in, read_table<wire::deployment_v1>("deployment_v1", json));
    deployment out{
        .name = in.name,
        .zone_delay = microseconds{in.zone_delay_us},
        .region_delay = microseconds{in.region_delay_us}};
    for (const auto& region : in.regions)
    {
        auto& added = out.regions.emplace_back();
        added.name = region->name;
        for (const auto& zone : region->zones)
        {
            added.zones.push_back({zone->name, zone->concurrent_cap});
        }
    }
    for (const auto& link : in.links)
    {
        out.links.push_back({link->from, link->to, link->mbit_per_s});
    }
    BOOST_OUTCOME_TRY(check_zone_names(out));
    return out;
}

result<void> check_percent(std::string_view path, std::uint32_t value)
{
    if (value == 0 || value > percent_whole)
    {
        return invalid(
            fmt::format("{}: expected 1 to 100, found {}", path, value));
    }
    return base::success();
}

constexpr std::uint32_t default_step_percent = 5;
constexpr milliseconds default_step_interval{10'000};

result<record_body> parse_shift_v1(std::string_view json)
{
    BOOST_OUTCOME_TRY(
        const auto in, read_table<wire::shift_v1>("shift_v1", json));
    BOOST_OUTCOME_TRY(check_percent("percent", in.percent));
    return shift{
        .name = in.name,
        .service = in.service,
        .from_zones = {in.from_zone},
        .to_zones = {in.to_zone},
        .percent = in.percent,
        .step_percent = default_step_percent,
        .step_interval = default_step_interval,
        .retired = in.retired};
}

result<record_body> parse_shift_v2(std::string_view json)
{
    BOOST_OUTCOME_TRY(
        const auto in, read_table<wire::shift_v2>("shift_v2", json));
    BOOST_OUTCOME_TRY(check_percent("percent", in.percent));
    BOOST_OUTCOME_TRY(check_percent("step_percent", in.step_percent));
    if (in.from_zones.empty() || in.to_zones.empty())
    {
        return invalid("from_zones, to_zones: expected one zone or more");
    }
    return shift{
        .name = in.name,
        .service = in.service,
        .from_zones = in.from_zones,
        .to_zones = in.to_zones,
        .percent = in.percent,
        .step_percent = in.step_percent,
        .step_interval = milliseconds{in.step_interval_ms},
        .retired = in.retired};
}

result<record_body> parse_drain_v1(std::string_view json)
{
    BOOST_OUTCOME_TRY(
        const auto in, read_table<wire::drain_v1>("drain_v1", json));
    return drain{
        .name = in.name,
        .target_kind = static_cast<drain_target>(in.target_kind),
        .target = in.target,
        .retired = in.retired};
}

result<record_body> parse_client_blocks_v1(std::string_view json)
{
    BOOST_OUTCOME_TRY(
        const auto in,
        read_table<wire::client_blocks_v1>("client_blocks_v1", json));
    return client_blocks{
        .name = in.name,
        .sites = in.sites,
        .snapshot_object = in.snapshot_object,
        .snapshot_digest = in.snapshot_digest,
        .delta_objects = in.delta_objects,
        .retired = in.retired};
}

// One row for each kind and version that this build reads.
struct record_form
{
    std::string_view kind;
    std::uint32_t schema_version;
    result<record_body> (*parse)(std::string_view json);
};

constexpr std::array forms{
    record_form{"deployment", 1, parse_deployment_v1},
    record_form{"service", 1, parse_service_v1},
    record_form{"service", 2, parse_service_v2},
    record_form{"shift", 1, parse_shift_v1},
    record_form{"shift", 2, parse_shift_v2},
    record_form{"drain", 1, parse_drain_v1},
    record_form{"client-blocks", 1, parse_client_blocks_v1},
};

result<record_form> find_form(const record_head& head)
{
    bool kind_known = false;
    for (const auto& form : forms)
    {
        if (form.kind != head.kind)
        {
            continue;
        }
        kind_known = true;
        if (form.schema_version == head.schema_version)
        {
            return form;
        }
    }
    if (!kind_known)
    {
        return fail(result_code::record_kind_unknown, head.kind);
    }
    return fail(
        result_code::record_version_unknown,
        fmt::format("{} version {}", head.kind, head.schema_version));
}

} // namespace

result<record> parse_record(std::string_view json)
{
    BOOST_OUTCOME_TRY(auto head, read_head(json));
    BOOST_OUTCOME_TRY(const auto form, find_form(head));
    BOOST_OUTCOME_TRY(auto body, form.parse(json));
    auto name = std::visit([](const auto& one) { return one.name; }, body);
    if (name.empty())
    {
        return invalid("name: expected a name, found \"\"");
    }
    return record{
        std::move(head.kind),
        std::move(name),
        head.schema_version,
        std::move(body)};
}

} // namespace waxwingvalve::schema
