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

constexpr std::chrono::milliseconds read_period_of_all{200};
constexpr std::chrono::milliseconds shortest_read_period{500};
// Reading more rows than this one by one costs more than one scan.
constexpr revision most_log_rows = 8;

} // namespace

base::duration next_store_read_delay(std::size_t peers_reached, double random)
{
    const auto members = static_cast<std::int64_t>(peers_reached) + 1;
    const auto mean =
        std::max(read_period_of_all * members, shortest_read_period);
    // From half to one and a half of the mean, so that daemons drift apart.
    return std::chrono::duration_cast<base::duration>(mean * (0.5 + random));
}

store_read_plan plan_store_read(revision own, revision head)
{
    if (head <= own)
    {
        return store_read_plan::nothing;
    }
    return own > 0 && head - own <= most_log_rows
               ? store_read_plan::log_rows
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
    checked_changes out;
    for (auto& change : changes)
    {
        if (keys != nullptr)
        {
            if (auto genuine = verify(*keys, change); !genuine)
            {
                out.refused.push_back({change.key, genuine.error()});
                continue;
            }
        }
        out.kept.push_back(std::move(change));
    }
    return out;
}

bool all_valid(
    std::span<const accepted_change> changes, const operator_keys* keys)
{
    return std::ranges::all_of(
        changes,
        [&](const accepted_change& change)
        {
            const bool genuine =
                keys == nullptr || verify(*keys, change).has_value();
            return genuine &&
                   schema::parse_record(change.record_json).has_value();
        });
}

configuration_delta changes_after(const configuration& own, revision after)
{
    configuration_delta out{.revision = own.revision};
    for (const auto& [key, change] : own.changes)
    {
        if (change.revision > after)
        {
            out.changes.push_back(change);
        }
    }
    return out;
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
    const auto* in = parsed.if_object();
    const auto* changes = in != nullptr ? in->if_contains("changes") : nullptr;
    if (failure || changes == nullptr || !changes->is_array())
    {
        return fail(result_code::message_malformed, "configuration");
    }
    if (number_at(*in, "schema_version") != 1)
    {
        return fail(result_code::message_version_unknown, "configuration");
    }
    configuration_delta out{.revision = number_at(*in, "revision")};
    for (const auto& entry : changes->get_array())
    {
        if (!entry.is_string())
        {
            return fail(result_code::message_malformed, "configuration");
        }
        BOOST_OUTCOME_TRY(auto change, parse_change(entry.get_string()));
        out.changes.push_back(std::move(change));
    }
    return out;
}

} // namespace waxwingvalve::decision::records
