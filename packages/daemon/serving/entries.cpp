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
    // Empty when the prefix of that daemon is not known here.
    std::string key_prefix{};
    // 0 own zone, 1 own region, 2 elsewhere.
    int distance{};
};

std::string prefix_of(std::string_view name, const placement& places)
{
    const auto& members = places.members().members;
    const auto found = std::ranges::find_if(
        members, [&](const auto& one) { return one.report.name == name; });
    return found != members.end() ? found->report.key_prefix : std::string{};
}

std::vector<ranked_entry> rank_entries(
    const schema::service& service,
    const placement& places,
    const schema::daemon_settings& settings,
    const std::string& own_key_prefix)
{
    std::vector<ranked_entry> out;
    if (!places.leaving())
    {
        out.push_back(
            {settings.name,
             settings.caller_address,
             places.slots_of(settings.name, service),
             own_key_prefix,
             0});
    }
    for (const auto& peer : settings.peers)
    {
        const int region_distance = peer.region == settings.region ? 1 : 2;
        out.push_back(
            {peer.name,
             peer.caller_address,
             places.slots_of(peer.name, service),
             prefix_of(peer.name, places),
             peer.zone == settings.zone ? 0 : region_distance});
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
        list.push_back(
            {{"address", base::to_string(entry.address)},
             {"weight", entry.weight},
             {"key_prefix", entry.key_prefix}});
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
        entries.empty() ? "none" : entries.front().name,
        "among",
        entries.size(),
        "why",
        "nearest-first",
        "revision",
        places.in_force().revision);
    return make_json(to_body(entries, *service, places.in_force().revision));
}

} // namespace waxwingvalve::daemon::serving
