#include "decision/records/configuration.hpp"

#include <variant>

namespace waxwingvalve::decision::records
{
namespace
{

// Deployment records cannot be retired.
struct is_retired
{
    bool operator()(const schema::deployment&) const { return false; }

    template <class Body>
    bool operator()(const Body& body) const
    {
        return body.retired;
    }
};

} // namespace

std::string record_key(std::string_view kind, std::string_view name)
{
    std::string key{kind};
    key += '/';
    key += name;
    return key;
}

const schema::service* configuration::find_service(std::string_view name) const
{
    const auto found = by_key.find(record_key("service", name));
    if (found == by_key.end())
    {
        return nullptr;
    }
    return std::get_if<schema::service>(&found->second.body);
}

const schema::deployment* configuration::find_deployment() const
{
    for (const auto& [key, record] : by_key)
    {
        if (const auto* found = std::get_if<schema::deployment>(&record.body))
        {
            return found;
        }
    }
    return nullptr;
}

loaded_configuration apply_changes(
    configuration before,
    revision new_revision,
    std::span<const accepted_change> changes)
{
    loaded_configuration result{.value = std::move(before)};
    result.value.revision = new_revision;
    for (const auto& change : changes)
    {
        const auto known = result.value.changes.find(change.key);
        if (known != result.value.changes.end() &&
            known->second.revision >= change.revision)
        {
            continue;
        }
        result.value.changes.insert_or_assign(change.key, change);
        auto parsed = schema::parse_record(change.record_json);
        if (!parsed)
        {
            result.unreadable.push_back({change.key, parsed.error()});
            continue;
        }
        if (std::visit(is_retired{}, parsed.value().body))
        {
            result.value.by_key.erase(change.key);
            continue;
        }
        result.value.by_key.insert_or_assign(
            change.key, std::move(parsed).value());
    }
    return result;
}

} // namespace waxwingvalve::decision::records
