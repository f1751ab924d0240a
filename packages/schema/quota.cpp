#include "schema/quota.hpp"

#include <string>

#include "schema/generated/quota_generated.h"

namespace waxwingvalve::schema
{

using base::fail;
using base::result_code;

bool is_quota_message(std::span<const std::uint8_t> bytes)
{
    constexpr std::size_t identifier_end = 8;
    return bytes.size() >= identifier_end &&
           wire::quota_messageBufferHasIdentifier(bytes.data());
}

std::vector<std::uint8_t> encode(const quota_message& message)
{
    wire::quota_messageT out;
    out.schema_version = quota_schema_version;
    out.sender = message.sender;
    out.incarnation = message.incarnation;
    for (const auto& one : message.requests)
    {
        out.requests.emplace_back(
            one.account,
            one.sequence,
            one.needed,
            one.ahead,
            one.spent,
            one.returned);
    }
    for (const auto& one : message.grants)
    {
        out.grants.emplace_back(
            one.account,
            one.sequence,
            one.tokens,
            one.retry_after_ms,
            static_cast<wire::lease_status>(one.status));
    }
    flatbuffers::FlatBufferBuilder builder;
    wire::Finishquota_messageBuffer(
        builder, wire::quota_message::Pack(builder, &out));
    return {
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

base::result<quota_message> parse_quota_message(
    std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier{bytes.data(), bytes.size()};
    if (!wire::Verifyquota_messageBuffer(verifier))
    {
        return fail(result_code::message_malformed, "quota");
    }
    const auto* in = wire::Getquota_message(bytes.data());
    if (in->schema_version() != quota_schema_version)
    {
        return fail(
            result_code::message_version_unknown,
            std::to_string(in->schema_version()));
    }
    quota_message out{.sender = in->sender(), .incarnation = in->incarnation()};
    if (in->requests() != nullptr)
    {
        for (const auto* one : *in->requests())
        {
            out.requests.push_back(
                {one->account(),
                 one->sequence(),
                 one->needed(),
                 one->ahead(),
                 one->spent(),
                 one->returned()});
        }
    }
    if (in->grants() != nullptr)
    {
        for (const auto* one : *in->grants())
        {
            const auto status = one->status();
            if (status > wire::lease_status::MAX)
            {
                return fail(result_code::message_malformed, "lease status");
            }
            out.grants.push_back(
                {one->account(),
                 one->sequence(),
                 one->granted(),
                 one->retry_after_ms(),
                 static_cast<lease_status>(status)});
        }
    }
    return out;
}

} // namespace waxwingvalve::schema
