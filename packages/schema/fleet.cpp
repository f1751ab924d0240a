#include "schema/fleet.hpp"

#include <cmath>
#include <memory>

#include "schema/generated/fleet_generated.h"

namespace waxwingvalve::schema
{
namespace
{

using base::fail;
using base::result;
using base::result_code;

std::unique_ptr<wire::fleet_memberT> to_wire(const fleet_member& in)
{
    auto out = std::make_unique<wire::fleet_memberT>();
    out->name = in.name;
    out->incarnation = in.incarnation;
    out->heartbeat = in.heartbeat;
    out->requests_per_s = in.requests_per_s;
    out->caller_address = base::to_string(in.caller_address);
    out->peer_address = base::to_string(in.peer_address);
    out->control_address = base::to_string(in.control_address);
    out->zone = in.zone;
    out->region = in.region;
    out->leaving = in.leaving;
    return out;
}

result<fleet_member> to_member(const wire::fleet_memberT& in)
{
    const auto caller = base::parse_endpoint(in.caller_address);
    const auto peer = base::parse_endpoint(in.peer_address);
    const auto control = base::parse_endpoint(in.control_address);
    if (in.name.empty() || in.zone.empty() || !caller || !peer || !control)
    {
        return fail(result_code::message_malformed, "members");
    }
    return fleet_member{
        .name = in.name,
        .incarnation = in.incarnation,
        .heartbeat = in.heartbeat,
        .requests_per_s = in.requests_per_s,
        .caller_address = caller.value(),
        .peer_address = peer.value(),
        .control_address = control.value(),
        .zone = in.zone,
        .region = in.region,
        .leaving = in.leaving};
}

result<rate_limit_statement> to_statement(const wire::rate_limit_statement& in)
{
    const float rate = in.requests_per_s();
    if (!std::isfinite(rate) || rate < 0)
    {
        return fail(result_code::message_malformed, "rate_limits");
    }
    return rate_limit_statement{
        .id = in.id(),
        .worker = in.worker(),
        .age_ms = in.age_ms(),
        .requests_per_s = rate,
        .limited = in.limited()};
}

} // namespace

std::vector<std::uint8_t> encode(const fleet_beat& beat)
{
    wire::fleet_beatT out;
    out.schema_version = fleet_schema_version;
    out.sender = to_wire(beat.sender);
    out.unknown = beat.unknown;
    for (const auto& one : beat.counts)
    {
        out.counts.emplace_back(
            one.key,
            one.incarnation,
            one.heartbeat,
            one.requests_per_s,
            one.leaving);
    }
    for (const auto& one : beat.crashes)
    {
        auto& event =
            out.crashes.emplace_back(std::make_unique<wire::crash_eventT>());
        event->id = one.id;
        event->digest = one.digest;
        event->worker = one.worker;
        event->sent_age_ms = one.sent_age_ms;
        event->ended_age_ms = one.ended_age_ms;
    }
    for (const auto& one : beat.answers)
    {
        auto& event =
            out.answers.emplace_back(std::make_unique<wire::answer_eventT>());
        event->id = one.id;
        event->digest = one.digest;
        event->age_ms = one.age_ms;
    }
    for (const auto& one : beat.rate_limits)
    {
        out.rate_limits.emplace_back(
            one.id, one.worker, one.age_ms, one.requests_per_s, one.limited);
    }
    for (const auto& one : beat.cold_workers)
    {
        out.cold_workers.emplace_back(
            one.worker, one.age_ms, one.left_ms, one.assumed);
    }
    out.pass_on = beat.pass_on;
    for (const auto& one : beat.members)
    {
        out.members.push_back(to_wire(one));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::fleet_beat::Pack(builder, &out));
    return {
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

result<fleet_beat> parse_fleet_beat(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier{bytes.data(), bytes.size()};
    if (!verifier.VerifyBuffer<wire::fleet_beat>(nullptr))
    {
        return fail(result_code::message_malformed, "buffer");
    }
    wire::fleet_beatT in;
    flatbuffers::GetRoot<wire::fleet_beat>(bytes.data())->UnPackTo(&in);
    if (in.schema_version != fleet_schema_version)
    {
        return fail(
            result_code::message_version_unknown,
            std::to_string(in.schema_version));
    }
    fleet_beat out;
    BOOST_OUTCOME_TRY(out.sender, to_member(*in.sender));
    out.unknown = in.unknown;
    for (const auto& one : in.counts)
    {
        out.counts.push_back(
            {one.key(),
             one.incarnation(),
             one.heartbeat(),
             one.requests_per_s(),
             one.leaving()});
    }
    for (const auto& one : in.crashes)
    {
        out.crashes.push_back(
            {one->id,
             one->digest,
             one->worker,
             one->sent_age_ms,
             one->ended_age_ms});
    }
    for (const auto& one : in.answers)
    {
        out.answers.push_back({one->id, one->digest, one->age_ms});
    }
    for (const auto& one : in.rate_limits)
    {
        BOOST_OUTCOME_TRY(const auto statement, to_statement(one));
        out.rate_limits.push_back(statement);
    }
    for (const auto& one : in.cold_workers)
    {
        out.cold_workers.push_back(
            {one.worker(), one.age_ms(), one.left_ms(), one.assumed()});
    }
    out.pass_on = in.pass_on;
    for (const auto& one : in.members)
    {
        BOOST_OUTCOME_TRY(auto member, to_member(*one));
        out.members.push_back(std::move(member));
    }
    return out;
}

} // namespace waxwingvalve::schema
