#include "schema/messages.hpp"

#include <memory>

#include "schema/generated/messages_generated.h"

namespace waxwingvalve::schema
{
namespace
{

using base::fail;
using base::result;
using base::result_code;

static_assert(
    static_cast<int>(wire::message_kind::MAX) ==
    static_cast<int>(message_kind::grant));

wire::member_updateT to_wire(const member_update& in)
{
    wire::member_updateT out;
    out.name = in.report.name;
    out.region = in.report.region;
    out.zone = in.report.zone;
    out.caller_address = base::to_string(in.report.caller_address);
    out.peer_address = base::to_string(in.report.peer_address);
    out.incarnation = in.report.incarnation;
    out.version = in.report.version;
    out.age_ms = in.age_ms;
    out.suspect = in.suspect;
    out.leaving = in.report.leaving;
    out.key_prefix = in.report.key_prefix;
    out.revision = in.report.revision;
    out.poison_digests = in.report.poison_digests;
    for (const auto& room : in.report.rooms)
    {
        auto& one =
            out.rooms.emplace_back(std::make_unique<wire::member_roomT>());
        one->service = room.service;
        one->slots = room.slots;
        one->free = room.free;
    }
    return out;
}

result<base::endpoint> endpoint_at(
    std::string_view field, const std::string& text)
{
    auto parsed = base::parse_endpoint(text);
    if (!parsed)
    {
        return fail(result_code::message_malformed, std::string{field});
    }
    return parsed;
}

result<member_update> to_update(const wire::member_updateT& in)
{
    if (in.name.empty() || in.zone.empty() || in.region.empty())
    {
        return fail(result_code::message_malformed, "members.name");
    }
    member_update out;
    out.report.name = in.name;
    out.report.region = in.region;
    out.report.zone = in.zone;
    BOOST_OUTCOME_TRY(
        out.report.caller_address,
        endpoint_at("members.caller_address", in.caller_address));
    BOOST_OUTCOME_TRY(
        out.report.peer_address,
        endpoint_at("members.peer_address", in.peer_address));
    out.report.incarnation = in.incarnation;
    out.report.version = in.version;
    out.report.leaving = in.leaving;
    out.report.key_prefix = in.key_prefix;
    out.report.revision = in.revision;
    out.report.poison_digests = in.poison_digests;
    for (const auto& room : in.rooms)
    {
        out.report.rooms.push_back({room->service, room->slots, room->free});
    }
    out.age_ms = in.age_ms;
    out.suspect = in.suspect;
    return out;
}

} // namespace

std::vector<std::uint8_t> encode(const peer_message& message)
{
    wire::peer_messageT out;
    out.schema_version = message_schema_version;
    out.sender = message.sender;
    out.incarnation = message.incarnation;
    out.sequence = message.sequence;
    out.kind = static_cast<wire::message_kind>(message.kind);
    out.probe = message.probe;
    out.target = message.target;
    for (const auto& one : message.members)
    {
        out.members.push_back(
            std::make_unique<wire::member_updateT>(to_wire(one)));
    }
    for (const auto& one : message.claims)
    {
        auto& claim =
            out.claims.emplace_back(std::make_unique<wire::worker_claimT>());
        claim->worker = base::to_string(one.worker);
        claim->stamp = one.stamp;
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::peer_message::Pack(builder, &out));
    return {
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

result<peer_message> parse_message(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier{bytes.data(), bytes.size()};
    if (bytes.size() > largest_message_bytes ||
        !verifier.VerifyBuffer<wire::peer_message>(nullptr))
    {
        return fail(result_code::message_malformed, "buffer");
    }
    wire::peer_messageT in;
    flatbuffers::GetRoot<wire::peer_message>(bytes.data())->UnPackTo(&in);
    if (in.schema_version != message_schema_version)
    {
        return fail(
            result_code::message_version_unknown,
            std::to_string(in.schema_version));
    }
    if (in.sender.empty() || in.kind > wire::message_kind::MAX)
    {
        return fail(result_code::message_malformed, "sender or kind");
    }
    peer_message out{
        .sender = in.sender,
        .incarnation = in.incarnation,
        .sequence = in.sequence,
        .kind = static_cast<message_kind>(in.kind),
        .probe = in.probe,
        .target = in.target};
    for (const auto& one : in.members)
    {
        BOOST_OUTCOME_TRY(auto update, to_update(*one));
        out.members.push_back(std::move(update));
    }
    for (const auto& one : in.claims)
    {
        BOOST_OUTCOME_TRY(
            const auto worker, endpoint_at("claims.worker", one->worker));
        out.claims.push_back({worker, one->stamp});
    }
    return out;
}

} // namespace waxwingvalve::schema
