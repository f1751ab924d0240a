#include "daemon/serving/peer_rooms.hpp"

#include <algorithm>

namespace waxwingvalve::daemon::serving
{

using base::monotonic_clock;
using decision::membership::member;
using decision::membership::member_state;
using decision::routing::distance;
using decision::routing::overflow_candidate;
using std::chrono::milliseconds;

namespace
{

// What was passed counts no longer than this without a newer report.
constexpr milliseconds passed_life{500};
constexpr std::uint32_t all_slots = 1'000'000;
constexpr std::chrono::microseconds own_zone_delay{500};

distance distance_to(const member& to, const schema::daemon_settings& from)
{
    if (to.report.zone == from.zone)
    {
        return distance::same_zone;
    }
    return to.report.region == from.region ? distance::same_region
                                           : distance::other_region;
}

base::duration delay_of(distance far, const schema::deployment* deployment)
{
    if (far == distance::same_zone || deployment == nullptr)
    {
        return own_zone_delay;
    }
    return far == distance::same_region ? deployment->zone_delay
                                        : deployment->region_delay;
}

} // namespace

peer_rooms::peer_rooms(const schema::daemon_settings& settings)
    : settings_{settings}, random_{std::random_device{}()}
{
}

reported_room peer_rooms::room_of(
    const member& one,
    std::string_view service,
    const std::function<std::uint32_t(std::string_view)>& unheard_slots)
{
    if (one.heard_at == base::instant{})
    {
        const auto slots = unheard_slots(one.report.name);
        return {slots, slots, false};
    }
    const auto found = std::ranges::find(
        one.report.rooms, service, &schema::service_room::service);
    return found == one.report.rooms.end()
               ? reported_room{0, 0, true}
               : reported_room{found->slots, found->free, true};
}

peer_rooms::passed& peer_rooms::passed_to(
    std::string_view name, std::string_view service, base::instant heard)
{
    auto key = std::string{name} + '/' + std::string{service};
    auto& out = passed_[std::move(key)];
    const auto now = monotonic_clock::now();
    if (out.heard_at != heard || now >= out.expires)
    {
        out = {heard, now + passed_life, 0};
    }
    return out;
}

overflow_candidate peer_rooms::candidate(
    const member& one,
    std::string_view service,
    std::uint32_t free,
    const schema::deployment* deployment)
{
    const auto far = distance_to(one, settings_);
    const auto sent = passed_to(one.report.name, service, one.heard_at).count;
    const bool heard = one.heard_at != base::instant{};
    return {
        .distance = far,
        .free = free - std::min(free, sent),
        .age = heard ? monotonic_clock::now() - one.heard_at
                     : base::duration{std::chrono::seconds{1}},
        .delay = delay_of(far, deployment)};
}

const member* peer_rooms::choose(
    std::string_view service,
    std::span<const base::endpoint> avoid,
    const decision::membership::member_snapshot& members,
    const decision::records::configuration& in_force,
    const std::function<std::uint32_t(std::string_view)>& unheard_slots)
{
    std::vector<overflow_candidate> all;
    const auto* deployment = in_force.find_deployment();
    for (std::size_t at = 0; at < members.members.size(); ++at)
    {
        const auto& one = members.members[at];
        const bool avoided =
            std::ranges::find(avoid, one.report.caller_address) != avoid.end();
        if (one.state != member_state::alive || avoided)
        {
            continue;
        }
        const auto room = room_of(one, service, unheard_slots);
        all.push_back(candidate(one, service, room.free, deployment));
        all.back().index = at;
    }
    const auto chosen = decision::routing::choose_overflow(
        std::span{std::as_const(all)}, random_);
    if (!chosen)
    {
        return nullptr;
    }
    const auto& one = members.members[*chosen];
    ++passed_to(one.report.name, service, one.heard_at).count;
    return &one;
}

void peer_rooms::note_refused(std::string_view name, std::string_view service)
{
    const auto found =
        passed_.find(std::string{name} + '/' + std::string{service});
    if (found != passed_.end())
    {
        found->second.count = all_slots;
    }
}

} // namespace waxwingvalve::daemon::serving
