#include <cstdint>
#include <functional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "schema/generated/messages_generated.h"
#include "schema/messages.hpp"

using namespace waxwingvalve;

namespace
{

schema::peer_message sample()
{
    schema::member_update update;
    update.report.name = "addis-a-1";
    update.report.region = "addis";
    update.report.zone = "addis-a";
    update.report.caller_address = {"127.1.1.1", 8080};
    update.report.peer_address = {"127.1.1.1", 8081};
    update.report.incarnation = 7;
    update.report.version = 3;
    update.report.rooms = {{"seam-registry", 12, 5}};
    update.report.poison_digests = {42};
    return {
        .sender = "addis-a-1",
        .incarnation = 7,
        .sequence = 9,
        .kind = schema::message_kind::claim,
        .probe = 4,
        .members = {update},
        .claims = {{{"127.1.1.100", 9000}, 11}}};
}

std::vector<std::uint8_t> packed(
    const std::function<void(wire::peer_messageT&)>& change)
{
    const auto good = schema::encode(sample());
    wire::peer_messageT in;
    flatbuffers::GetRoot<wire::peer_message>(good.data())->UnPackTo(&in);
    change(in);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::peer_message::Pack(builder, &in));
    return {
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(messages)

BOOST_AUTO_TEST_CASE(a_message_is_read_as_it_was_written)
{
    const auto parsed = schema::parse_message(schema::encode(sample()));
    BOOST_REQUIRE(parsed.has_value());
    const auto& got = parsed.value();
    BOOST_TEST(got.sender == "addis-a-1");
    BOOST_TEST(got.sequence == 9U);
    BOOST_TEST((got.kind == schema::message_kind::claim));
    BOOST_TEST((got.claims == sample().claims));
    BOOST_TEST(got.members.front().report.rooms.front().free == 5U);
    BOOST_TEST(got.members.front().report.poison_digests.front() == 42U);
}

BOOST_AUTO_TEST_CASE(a_message_at_fault_is_refused_with_its_code)
{
    using base::result_code;
    struct bad_case
    {
        std::vector<std::uint8_t> bytes;
        result_code expected;
    };
    const std::vector<bad_case> cases{
        {{}, result_code::message_malformed},
        {{1, 2, 3}, result_code::message_malformed},
        {std::vector<std::uint8_t>(64, 0xff), result_code::message_malformed},
        {std::vector<std::uint8_t>(schema::largest_message_bytes + 1, 0),
         result_code::message_malformed},
        {packed([](auto& in) { in.schema_version = 2; }),
         result_code::message_version_unknown},
        {packed([](auto& in) { in.schema_version = 0; }),
         result_code::message_version_unknown},
        {packed([](auto& in) { in.sender.clear(); }),
         result_code::message_malformed},
        {packed([](auto& in)
                { in.kind = static_cast<wire::message_kind>(99); }),
         result_code::message_malformed},
        {packed([](auto& in) { in.members[0]->name.clear(); }),
         result_code::message_malformed},
        {packed([](auto& in) { in.members[0]->peer_address = "host:1"; }),
         result_code::message_malformed},
        {packed([](auto& in) { in.claims[0]->worker = "127.0.0.1"; }),
         result_code::message_malformed}};
    for (const auto& one : cases)
    {
        const auto parsed = schema::parse_message(one.bytes);
        BOOST_REQUIRE(!parsed.has_value());
        BOOST_TEST((parsed.error().code == one.expected));
    }
}

BOOST_AUTO_TEST_CASE(no_truncated_message_is_read)
{
    const auto good = schema::encode(sample());
    for (std::size_t length = 0; length < good.size(); ++length)
    {
        const auto parsed =
            schema::parse_message(std::span{good}.first(length));
        // A cut that loses only padding may still verify.
        if (parsed)
        {
            BOOST_TEST(parsed.value().sender == sample().sender);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
