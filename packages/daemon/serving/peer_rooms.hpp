// What the other daemons have free by their last reports, less what this
// daemon has passed to them since.
//
// Touched by the serving thread alone.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "decision/membership/member_snapshot.hpp"
#include "decision/records/configuration.hpp"
#include "decision/routing/overflow.hpp"
#include "schema/settings.hpp"

namespace waxwingvalve::daemon::serving
{

// Free slots of one daemon, and whether it said so itself.
struct reported_room
{
    std::uint32_t slots{};
    std::uint32_t free{};
    // False when only the records and the settings speak of it.
    bool heard{};
};

class peer_rooms
{
public:
    explicit peer_rooms(const schema::daemon_settings& settings);

    // The member that a request should be passed to; null without room.
    // Members at the caller addresses in `avoid` are left out.
    // `unheard_slots` are the slots of a member that has not reported yet.
    const decision::membership::member* choose(
        std::string_view service,
        std::span<const base::endpoint> avoid,
        const decision::membership::member_snapshot& members,
        const decision::records::configuration& in_force,
        const std::function<std::uint32_t(std::string_view)>& unheard_slots);

    // The member had no room: passes it by until it reports again.
    void note_refused(std::string_view member, std::string_view service);

    static reported_room room_of(
        const decision::membership::member& member,
        std::string_view service,
        const std::function<std::uint32_t(std::string_view)>& unheard_slots);

private:
    // Requests passed since the report of `heard_at`.
    struct passed
    {
        base::instant heard_at{};
        base::instant expires{};
        std::uint32_t count{};
    };

    passed& passed_to(
        std::string_view member, std::string_view service, base::instant heard);
    decision::routing::overflow_candidate candidate(
        const decision::membership::member& member,
        std::string_view service,
        std::uint32_t free,
        const schema::deployment* deployment);

    const schema::daemon_settings& settings_;
    std::mt19937_64 random_;
    std::map<std::string, passed, std::less<>> passed_;
};

} // namespace waxwingvalve::daemon::serving
