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

zone_names declared_zones(const configuration& all)
{
    zone_names out;
    for (const auto& [key, record] : all.by_key)
    {
        const auto* one = std::get_if<schema::deployment>(&record.body);
        if (one == nullptr)
        {
            continue;
        }
        for (const auto& region : one->regions)
        {
            for (const auto& zone : region.zones)
            {
                out.insert(zone.name);
            }
        }
    }
    return out;
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

bool has_worker(const configuration& all, std::string_view address)
{
    const auto at_address = [&](const schema::worker& one)
    { return base::to_string(one.address) == address; };
    return std::ranges::any_of(
        all.by_key,
        [&](const auto& entry)
        {
            const auto* one = std::get_if<schema::service>(&entry.second.body);
            return one != nullptr &&
                   std::ranges::any_of(one->workers, at_address);
        });
}

// What has to hold of every record for as long as it is in force.
struct standing_check
{
    std::string_view key;
    const configuration& all;
    const zone_names& declared;

    result<void> operator()(const schema::service& one) const
    {
        for (const auto& worker : one.workers)
        {
            BOOST_OUTCOME_TRY(check_zone(key, worker.zone, declared));
        }
        return base::success();
    }

    result<void> operator()(const schema::shift& one) const
    {
        if (all.find_service(one.service) == nullptr)
        {
            return invalid(
                key,
                fmt::format(
                    "expected a service in force, found \"{}\"", one.service));
        }
        for (const auto* zones : {&one.from_zones, &one.to_zones})
        {
            for (const auto& zone : *zones)
            {
                BOOST_OUTCOME_TRY(check_zone(key, zone, declared));
            }
        }
        return base::success();
    }

    // A drain outlives its target: taking the drained worker out of the
    // service is the usual next change.
    template <class Other>
    result<void> operator()(const Other&) const
    {
        return base::success();
    }
};

result<void> check_drain(
    std::string_view key, const schema::drain& one, const configuration& all)
{
    switch (one.target_kind)
    {
    case schema::drain_target::zone:
        return check_zone(key, one.target, declared_zones(all));
    case schema::drain_target::worker:
        if (!has_worker(all, one.target))
        {
            return invalid(
                key,
                fmt::format(
                    "expected the address of a worker, found \"{}\"",
                    one.target));
        }
        return base::success();
    case schema::drain_target::entry:
        // Entries come and go by the VM list, which no record holds.
        return base::success();
    }
    return base::success();
}

configuration with(const configuration& in_force, const schema::record& next)
{
    configuration out{.by_key = in_force.by_key};
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
        out.by_key.erase(key);
    }
    else
    {
        out.by_key.insert_or_assign(key, next);
    }
    return out;
}

} // namespace

result<void> check_consistency(
    const configuration& in_force, const schema::record& next)
{
    const auto all = with(in_force, next);
    const auto declared = declared_zones(all);
    for (const auto& [key, record] : all.by_key)
    {
        BOOST_OUTCOME_TRY(
            std::visit(standing_check{key, all, declared}, record.body));
    }
    const auto key = record_key(next.kind, next.name);
    if (const auto found = all.by_key.find(key); found != all.by_key.end())
    {
        if (const auto* one = std::get_if<schema::drain>(&found->second.body))
        {
            return check_drain(key, *one, all);
        }
    }
    return base::success();
}

} // namespace waxwingvalve::decision::records
