#include "decision/records/adoption.hpp"

#include <algorithm>

#include <boost/json.hpp>

namespace waxwingvalve::decision::records
{
namespace
{

namespace json = boost::json;
using base::fail;
using base::result_code;

constexpr std::chrono::milliseconds fleet_read_period{200};
constexpr std::chrono::milliseconds min_read_period{500};
// Above this, a table scan is cheaper than reading the rows one by one.
constexpr revision max_log_rows = 8;

} // namespace

base::duration next_store_read_delay(std::size_t peers_reached, double random)
{
    const auto members = static_cast<std::int64_t>(peers_reached) + 1;
    const auto mean = std::max(fleet_read_period * members, min_read_period);
    // Jitter from 0.5 to 1.5 of the mean, so that daemons do not read in step.
    return std::chrono::duration_cast<base::duration>(mean * (0.5 + random));
}

store_read_plan plan_store_read(revision own, revision head)
{
    if (head <= own)
    {
        return store_read_plan::nothing;
    }
    return own > 0 && head - own <= max_log_rows ? store_read_plan::log_rows
                                                 : store_read_plan::all_records;
}

bool includes_revision(
    std::span<const accepted_change> changes, revision wanted)
{
    return std::ranges::any_of(
        changes,
        [&](const accepted_change& change)
        { return change.revision >= wanted; });
}

checked_changes check_signatures(
    std::vector<accepted_change> changes, const operator_keys* keys)
{
    checked_changes result;
    for (auto& change : changes)
    {
        if (keys != nullptr)
        {
            if (auto verified = verify(*keys, change); !verified)
            {
                result.refused.push_back({change.key, verified.error()});
                continue;
            }
        }
        result.kept.push_back(std::move(change));
    }
    return result;
}

bool all_valid(
    std::span<const accepted_change> changes, const operator_keys* keys)
{
    return std::ranges::all_of(
        changes,
        [&](const accepted_change& change)
        {
            const bool verified =
                keys == nullptr || verify(*keys, change).has_value();
            return verified &&
                   schema::parse_record(change.record_json).has_value();
        });
}

configuration_delta changes_after(const configuration& own, revision after)
{
    configuration_delta delta{.revision = own.revision};
    for (const auto& [key, change] : own.changes)
    {
        if (change.revision > after)
        {
            delta.changes.push_back(change);
        }
    }
    return delta;
}

std::string to_json(const configuration_delta& delta)
{
    json::array changes;
    for (const auto& change : delta.changes)
    {
        changes.emplace_back(to_json(change));
    }
    return json::serialize(json::object{
        {"schema_version", 1},
        {"revision", delta.revision},
        {"changes", std::move(changes)}});
}

base::result<configuration_delta> parse_configuration_delta(
    std::string_view text)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    const auto* object = parsed.if_object();
    const auto* changes =
        object != nullptr ? object->if_contains("changes") : nullptr;
    if (failure || changes == nullptr || !changes->is_array())
    {
        return fail(result_code::message_malformed, "configuration");
    }
    if (number_at(*object, "schema_version") != 1)
    {
        return fail(result_code::message_version_unknown, "configuration");
    }
    configuration_delta delta{.revision = number_at(*object, "revision")};
    for (const auto& entry : changes->get_array())
    {
        if (!entry.is_string())
        {
            return fail(result_code::message_malformed, "configuration");
        }
        BOOST_OUTCOME_TRY(auto change, parse_change(entry.get_string()));
        delta.changes.push_back(std::move(change));
    }
    return delta;
}

} // namespace waxwingvalve::decision::records
