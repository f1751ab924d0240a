#include "decision/records/consistency.hpp"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace waxwingvalve::decision::records
{
namespace
{

using base::result;

using zone_names = std::set<std::string, std::less<>>;

auto invalid(std::string_view key, std::string_view detail)
{
    return base::fail(
        base::result_code::record_invalid, fmt::format("{}: {}", key, detail));
}

zone_names declared_zones(const configuration& config)
{
    zone_names zones;
    for (const auto& [key, record] : config.by_key)
    {
        const auto* deployment = std::get_if<schema::deployment>(&record.body);
        if (deployment == nullptr)
        {
            continue;
        }
        for (const auto& region : deployment->regions)
        {
            for (const auto& zone : region.zones)
            {
                zones.insert(zone.name);
            }
        }
    }
    return zones;
}

result<void> check_zone(
    std::string_view key, std::string_view zone, const zone_names& declared)
{
    if (!declared.contains(zone))
    {
        return invalid(
            key,
            fmt::format(
                "expected a zone that a deployment declares, found \"{}\"",
                zone));
    }
    return base::success();
}

bool has_worker(const configuration& config, std::string_view address)
{
    const auto at_address = [&](const schema::worker& worker)
    { return base::to_string(worker.address) == address; };
    return std::ranges::any_of(
        config.by_key,
        [&](const auto& entry)
        {
            const auto* service =
                std::get_if<schema::service>(&entry.second.body);
            return service != nullptr &&
                   std::ranges::any_of(service->workers, at_address);
        });
}

// Checks that the zones and services that a record refers to exist. Applies to
// every record for as long as it is in force.
struct reference_check
{
    std::string_view key;
    const configuration& config;
    const zone_names& declared;

    result<void> operator()(const schema::service& service) const
    {
        for (const auto& worker : service.workers)
        {
            BOOST_OUTCOME_TRY(check_zone(key, worker.zone, declared));
        }
        return base::success();
    }

    result<void> operator()(const schema::shift& shift) const
    {
        if (config.find_service(shift.service) == nullptr)
        {
            return invalid(
                key,
                fmt::format(
                    "expected a service in force, found \"{}\"",
                    shift.service));
        }
        for (const auto* zones : {&shift.from_zones, &shift.to_zones})
        {
            for (const auto& zone : *zones)
            {
                BOOST_OUTCOME_TRY(check_zone(key, zone, declared));
            }
        }
        return base::success();
    }

    // Other records are not checked. In particular, the target of a drain may
    // be gone: removing the drained worker from its service is the usual next
    // change.
    template <class Other>
    result<void> operator()(const Other&) const
    {
        return base::success();
    }
};

result<void> check_drain(
    std::string_view key,
    const schema::drain& drain,
    const configuration& config)
{
    switch (drain.target_kind)
    {
    case schema::drain_target::zone:
        return check_zone(key, drain.target, declared_zones(config));
    case schema::drain_target::worker:
        if (!has_worker(config, drain.target))
        {
            return invalid(
                key,
                fmt::format(
                    "expected the address of a worker, found \"{}\"",
                    drain.target));
        }
        return base::success();
    case schema::drain_target::entry:
        // Entries are defined by the VM list, which is not part of the records.
        return base::success();
    }
    return base::success();
}

configuration with_record(
    const configuration& in_force, const schema::record& next)
{
    configuration updated{.by_key = in_force.by_key};
    const auto key = record_key(next.kind, next.name);
    const bool retired = std::visit(
        [](const auto& body)
        {
            if constexpr (requires { body.retired; })
            {
                return body.retired;
            }
            return false;
        },
        next.body);
    if (retired)
    {
        updated.by_key.erase(key);
    }
    else
    {
        updated.by_key.insert_or_assign(key, next);
    }
    return updated;
}

} // namespace

result<void> check_consistency(
    const configuration& in_force, const schema::record& next)
{
    const auto config = with_record(in_force, next);
    const auto declared = declared_zones(config);
    for (const auto& [key, record] : config.by_key)
    {
        BOOST_OUTCOME_TRY(
            std::visit(reference_check{key, config, declared}, record.body));
    }
    const auto key = record_key(next.kind, next.name);
    if (const auto found = config.by_key.find(key);
        found != config.by_key.end())
    {
        if (const auto* drain = std::get_if<schema::drain>(&found->second.body))
        {
            return check_drain(key, *drain, config);
        }
    }
    return base::success();
}

} // namespace waxwingvalve::decision::records
