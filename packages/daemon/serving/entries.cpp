#include "daemon/serving/entries.hpp"

#include <algorithm>
#include <vector>

#include <boost/json.hpp>

#include "base/log.hpp"
#include "daemon/serving/answers.hpp"

namespace waxwingvalve::daemon::serving
{
namespace
{

using base::result_code;

struct ranked_entry
{
    std::string name{};
    base::endpoint address{};
    std::uint32_t weight{};
    // Prefix for the keys of filings sent there; empty when not known.
    std::string key_prefix{};
    // 0 own zone, 1 own region, 2 elsewhere.
    int distance{};
};

// An entry of which little is free still gets a share, for its figure is old
// by the time that the caller uses it.
constexpr std::uint32_t least_weight = 1;

std::uint32_t weight_of(std::uint32_t slots, std::uint32_t free)
{
    return slots == 0 ? 0 : std::max(free, least_weight);
}

int distance_of(
    const decision::membership::member_report& to,
    const schema::daemon_settings& from)
{
    if (to.zone == from.zone)
    {
        return 0;
    }
    return to.region == from.region ? 1 : 2;
}

// Leaving, dead and drained entries are not named, and serve on.
std::vector<ranked_entry> rank_entries(
    const schema::service& service,
    const placement& places,
    const schema::daemon_settings& settings,
    const std::string& own_key_prefix)
{
    std::vector<ranked_entry> out;
    const auto& drain_set = places.drain_set();
    const bool named_self =
        !places.leaving() &&
        !places.vm_leaves(settings.caller_address.address) &&
        !drain_set.contains_entry(settings.name, settings.zone);
    if (named_self)
    {
        const auto own = places.own_capacity(service.name);
        out.push_back(
            {settings.name,
             settings.caller_address,
             weight_of(own.slots, own.free),
             own_key_prefix,
             0});
    }
    for (const auto& peer : places.members().members)
    {
        using decision::membership::member_state;
        const auto& report = peer.report;
        const bool named = peer.state == member_state::alive ||
                           peer.state == member_state::suspect;
        const bool leaves =
            drain_set.contains_entry(report.name, report.zone) ||
            places.vm_leaves(report.caller_address.address);
        if (!named || leaves)
        {
            continue;
        }
        const auto room = places.room_of(peer, service.name);
        out.push_back(
            {report.name,
             report.caller_address,
             weight_of(room.slots, room.free),
             report.key_prefix,
             distance_of(report, settings)});
    }
    std::ranges::stable_sort(out, {}, &ranked_entry::distance);
    return out;
}

std::string to_body(
    std::span<const ranked_entry> entries,
    const schema::service& service,
    decision::records::revision revision)
{
    boost::json::array list;
    for (const auto& entry : entries)
    {
        boost::json::object one{
            {"address", base::to_string(entry.address)},
            {"weight", entry.weight}};
        if (!entry.key_prefix.empty())
        {
            one["key_prefix"] = entry.key_prefix;
        }
        list.push_back(std::move(one));
    }
    return boost::json::serialize(boost::json::object{
        {"entries", std::move(list)},
        {"ttl_ms", service.entries_ttl.count()},
        {"revision", revision}});
}

} // namespace

net::http_response answer_entries(
    const net::http_request& request,
    const placement& places,
    const schema::daemon_settings& settings,
    const std::string& own_key_prefix)
{
    const auto name = net::query_value(request.target, "service");
    const auto* service =
        name ? places.in_force().find_service(*name) : nullptr;
    if (service == nullptr)
    {
        return make_refusal(
            {result_code::service_unknown, name.value_or("")},
            outcome::not_run);
    }
    const auto client = net::query_value(request.target, "client");
    if (client && !base::is_ip_number(*client))
    {
        return make_refusal(
            {result_code::client_address_invalid, *client}, outcome::not_run);
    }
    const auto entries =
        rank_entries(*service, places, settings, own_key_prefix);
    base::log_event(
        base::log_level::info,
        base::log_channel::routing,
        "decision",
        "kind",
        "entries",
        "service",
        *name,
        "client",
        client.value_or("unnamed"),
        "chosen",
        entries.empty() ? "none" : std::string_view{entries.front().name},
        "among",
        entries.size(),
        "why",
        "nearest-first",
        "revision",
        places.in_force().revision);
    return make_json(to_body(entries, *service, places.in_force().revision));
}

} // namespace waxwingvalve::daemon::serving
