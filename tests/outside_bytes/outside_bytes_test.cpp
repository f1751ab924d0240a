// Properties of every reader of bytes from outside, over valid bytes that are
// mutated, cut into pieces and without end: the process goes on, the memory
// stays within the stated bound, and what broke off is never complete.
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <array>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "front/request_fields.hpp"
#include "front/retry_after.hpp"
#include "net/message_reader.hpp"
#include "outside_bytes/mutated_bytes.hpp"
#include "platform/documents.hpp"
#include "platform/store_client.hpp"
#include "schema/fleet.hpp"
#include "schema/front_settings.hpp"
#include "schema/messages.hpp"
#include "schema/quota.hpp"
#include "schema/records.hpp"
#include "schema/settings.hpp"

using namespace waxwingvalve;
using net::read_event;
using tests::byte_mutator;

namespace
{

constexpr net::message_limits limits{
    .head_bytes = 2 * 1024,
    .body_bytes = 8 * 1024,
    .framing_bytes = 1024,
    .fields = 50};
// What one message may take: its parts, a read beyond each limit, and the
// fields as they are stored.
constexpr std::size_t largest_read = 8 * 1024;
constexpr std::size_t memory_bound = limits.head_bytes + limits.body_bytes +
                                     limits.framing_bytes + 2 * largest_read +
                                     limits.fields * sizeof(net::header_field);

constexpr std::array<std::string_view, 6> valid_answers{
    "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\nContent-Length: 5\r\n\r\nabcde",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
    "3\r\nabc\r\n2;x=\"y z\"\r\nde\r\n0\r\nT: v\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nKeep-Alive: timeout=5\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n"};

constexpr std::array<std::string_view, 4> valid_requests{
    "GET /a?b=c HTTP/1.1\r\nHost: a\r\nCookie: k=v; l=w\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1\r\na\r\n0000000000000004;e\r\nbcde\r\n0\r\n\r\n",
    "PUT /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\nT: v\r\n\r\n"};

template <class Reader>
std::size_t memory_of(const Reader& reader)
{
    auto bytes = reader.buffered();
    if (reader.reading())
    {
        const auto& message = reader.partial();
        bytes += message.body.size() +
                 message.fields.size() * sizeof(net::header_field);
        for (const auto& field : message.fields)
        {
            bytes += field.name.size() + field.value.size();
        }
    }
    return bytes;
}

// Reads all messages in the pieces. Returns the complete ones.
template <class Reader>
std::size_t read_all(
    Reader& reader, const std::vector<std::string_view>& pieces)
{
    std::size_t complete = 0;
    reader.begin(limits);
    for (const auto piece : pieces)
    {
        reader.append(boost::asio::buffer(piece));
        for (;;)
        {
            const auto event = reader.next();
            RC_ASSERT(memory_of(reader) <= memory_bound);
            if (event == read_event::need_more)
            {
                break;
            }
            if (event == read_event::refused)
            {
                return complete;
            }
            if (event == read_event::message)
            {
                reader.take();
                ++complete;
                reader.begin(limits);
            }
        }
    }
    return complete;
}

template <class Reader, std::size_t count>
void check_mutated(const std::array<std::string_view, count>& valid)
{
    const bool held = rc::check(
        [&](std::uint64_t seed)
        {
            byte_mutator mutator{seed};
            const auto bytes = mutator.mutate(valid.at(mutator.number(count))) +
                               mutator.mutate(valid.at(mutator.number(count)));
            base::byte_budget memory{memory_bound};
            {
                Reader reader{memory};
                read_all(reader, mutator.cut(bytes));
                RC_ASSERT(memory.used() <= memory_bound);
            }
            RC_ASSERT(memory.used() == 0U);
        });
    BOOST_TEST(held);
}

template <class Reader, std::size_t count>
void check_broken_off(const std::array<std::string_view, count>& valid)
{
    const bool held = rc::check(
        [&](std::uint64_t seed)
        {
            byte_mutator mutator{seed};
            const auto whole = valid.at(mutator.number(count));
            const auto part = whole.substr(0, mutator.number(whole.size()));
            Reader reader;
            RC_ASSERT(read_all(reader, mutator.cut(part)) == 0U);
            RC_ASSERT(!reader.end_of_input());
        });
    BOOST_TEST(held);
}

template <class Reader, std::size_t count>
void check_pieces(const std::array<std::string_view, count>& valid)
{
    const bool held = rc::check(
        [&](std::uint64_t seed)
        {
            byte_mutator mutator{seed};
            const auto whole = valid.at(mutator.number(count));
            Reader reader;
            RC_ASSERT(read_all(reader, mutator.cut(whole)) == 1U);
            RC_ASSERT(reader.buffered() == 0U);
        });
    BOOST_TEST(held);
}

// `parse` tells whether it could read the bytes. It is given mutated forms of
// `valid` and must return for each.
template <class Parse>
void check_parser(std::string_view valid, const Parse& parse)
{
    BOOST_TEST(parse(std::string{valid}));
    const bool held = rc::check(
        [&](std::uint64_t seed)
        {
            byte_mutator mutator{seed};
            parse(mutator.mutate(valid));
        });
    BOOST_TEST(held);
}

std::span<const std::uint8_t> bytes_of(const std::string& text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

std::string text_of(const std::vector<std::uint8_t>& bytes)
{
    return {bytes.begin(), bytes.end()};
}

constexpr std::string_view valid_worker =
    R"({"address":"10.0.0.9:8080","born":17,"info":{"service":"desk",)"
    R"("version":"v1","zone":"addis-a","slots":4},"status":{"state":)"
    R"("ready","sequence":4,"cold_remaining":"1.5s"}})";

constexpr std::string_view valid_configuration =
    R"({"version":"r12","resources":[{"entry_type":"routes","metadata":)"
    R"({"name":"one"},"spec":{"host":"a.example","prefix":"/x/","kind":)"
    R"("safe","timeout":"800ms","target_latency":"300ms","priority":2,)"
    R"("traffic_split":[{"service":"old","weight":90}],"max_attempts":2,)"
    R"("sticky":true,"home_regions":["addis"]}},{"entry_type":"services",)"
    R"("metadata":{"name":"old"},"spec":{"health_path":"/health",)"
    R"("max_connections":390,"cold_start":"3s","cold_per_s":7.2}},)"
    R"({"entry_type":"tenants","metadata":{"name":"acme"},"spec":)"
    R"({"api_keys":["k"],"priority":1,"rate_per_s":9,"burst":9}},)"
    R"({"entry_type":"limits","metadata":{},"spec":{"max_header_bytes":)"
    R"(16384,"max_body_bytes":100,"header_timeout":"3000ms",)"
    R"("idle_timeout":"15000ms"}}]})";

constexpr std::string_view valid_rows =
    R"({"rows":[{"key":"i-1","schema_version":3,"value":"YWJj"},{"key":)"
    R"("i-2","schema_version":4,"deleted":true}],"schema_version":4,"era":1,)"
    R"("has_more":false,"whole":true,"age_ms":12,"configuration":"YWI="})";

constexpr std::string_view valid_settings =
    R"({"schema_version":1,"name":"a","region":"addis","zone":"addis-a",)"
    R"("caller_address":"10.0.0.1:80","readiness_address":"10.0.0.1:81",)"
    R"("lookup_address":"10.0.0.1:82","control_address":"10.0.0.1:83",)"
    R"("peer_port":84,"seeds":["10.0.0.2:83"],"zones":[{"zone":"addis-a",)"
    R"("region":"addis"}],"store_address":"10.9.0.1:80","lookup_lifetime":)"
    R"("2s","stop_time":"10s","retry_ratio":0.2,"retry_window":"10s",)"
    R"("retry_allowance":430,"region_step":0.15,"log_level":"error",)"
    R"("worker_report_interval":"2s","body_memory_mb":40})";

} // namespace

BOOST_AUTO_TEST_SUITE(outside_bytes)

BOOST_AUTO_TEST_CASE(mutated_messages_stay_within_their_memory)
{
    check_mutated<net::answer_reader>(valid_answers);
    check_mutated<net::request_reader>(valid_requests);
}

BOOST_AUTO_TEST_CASE(messages_that_break_off_are_never_complete)
{
    check_broken_off<net::answer_reader>(valid_answers);
    check_broken_off<net::request_reader>(valid_requests);
}

BOOST_AUTO_TEST_CASE(valid_messages_in_any_pieces_are_complete)
{
    check_pieces<net::answer_reader>(valid_answers);
    check_pieces<net::request_reader>(valid_requests);
}

// MIXED: statuses and field names that RFC 9110 does not allow came through.
BOOST_AUTO_TEST_CASE(an_answer_with_a_status_outside_of_100_to_599_is_refused)
{
    const bool held = rc::check(
        [](std::uint64_t seed)
        {
            byte_mutator mutator{seed};
            const auto status = mutator.number(1'000);
            const auto bytes = fmt::format(
                "HTTP/1.1 {:03} X\r\nContent-Length: 0\r\n\r\n", status);
            net::answer_reader reader;
            const auto complete = read_all(reader, mutator.cut(bytes));
            RC_ASSERT(complete == (status >= 100 && status <= 599 ? 1U : 0U));
        });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_field_name_that_is_no_token_is_refused)
{
    // RFC 9110, section 5.6.2.
    constexpr std::string_view token_bytes =
        "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
        "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    const bool held = rc::check(
        [&](std::uint64_t seed)
        {
            byte_mutator mutator{seed};
            const auto byte = static_cast<char>(mutator.number(256));
            RC_PRE(byte != ':' && byte != '\r' && byte != '\n');
            std::string name{"Odd"};
            name.insert(mutator.number(name.size() + 1), 1, byte);
            const auto bytes = "HTTP/1.1 200 OK\r\nA: b\r\n" + name +
                               ": x\r\nContent-Length: 0\r\n\r\n";
            const bool token = token_bytes.find(byte) != std::string_view::npos;
            net::answer_reader reader;
            const auto complete = read_all(reader, mutator.cut(bytes));
            RC_ASSERT(complete == (token ? 1U : 0U));
        });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(a_body_without_a_length_is_complete_at_the_end_alone)
{
    const bool held = rc::check(
        [](std::uint64_t seed)
        {
            byte_mutator mutator{seed};
            const std::string bytes{
                "HTTP/1.1 200 OK\r\nAttempt-Id: 7\r\n\r\nabcdefgh"};
            const auto head = bytes.find("\r\n\r\n") + 4;
            const auto size = mutator.number(bytes.size() + 1);
            net::answer_reader reader;
            RC_ASSERT(
                read_all(reader, mutator.cut(bytes.substr(0, size))) == 0U);
            RC_ASSERT(reader.end_of_input() == (size >= head));
        });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(documents_of_the_store_are_read_or_refused)
{
    check_parser(
        valid_worker,
        [](const std::string& text)
        { return platform::parse_worker("i-1", text).has_value(); });
    check_parser(
        valid_configuration,
        [](const std::string& text)
        { return platform::parse_configuration(text).has_value(); });
    check_parser(
        valid_rows,
        [](const std::string& text)
        { return platform::parse_rows(text).has_value(); });
}

BOOST_AUTO_TEST_CASE(messages_of_peers_are_read_or_refused)
{
    schema::fleet_beat beat;
    beat.sender.name = "a";
    beat.sender.zone = "addis-a";
    beat.sender.caller_address = {"10.0.0.1", 80};
    beat.sender.peer_address = {"10.0.0.1", 81};
    beat.sender.control_address = {"10.0.0.1", 82};
    beat.members.push_back(beat.sender);
    beat.unknown = {1, 2};
    beat.counts.push_back({.key = 1, .incarnation = 2, .heartbeat = 3});
    check_parser(
        text_of(schema::encode(beat)),
        [](const std::string& text)
        { return schema::parse_fleet_beat(bytes_of(text)).has_value(); });

    schema::quota_message leases{.sender = 1, .incarnation = 2};
    leases.requests.push_back({3, 4, 5, 6, 7, 8});
    leases.grants.push_back({7, 8, 9, 10, schema::lease_status::not_owner});
    check_parser(
        text_of(schema::encode(leases)),
        [](const std::string& text)
        {
            return schema::is_quota_message(bytes_of(text)) &&
                   schema::parse_quota_message(bytes_of(text)).has_value();
        });

    schema::peer_message message;
    message.sender = "a";
    message.target = "b";
    message.claims.push_back({{"10.0.0.1", 80}, 7});
    check_parser(
        text_of(schema::encode(message)),
        [](const std::string& text)
        { return schema::parse_message(bytes_of(text)).has_value(); });
}

BOOST_AUTO_TEST_CASE(settings_and_records_are_read_or_refused)
{
    check_parser(
        valid_settings,
        [](const std::string& text)
        {
            return schema::parse_front_settings(text).has_value() ||
                   schema::parse_daemon_settings(text).has_value() ||
                   schema::parse_operator_settings(text).has_value() ||
                   schema::parse_record(text).has_value();
        });
}

BOOST_AUTO_TEST_CASE(values_of_fields_are_read_or_refused)
{
    check_parser(
        "/a?c=d; l=w; k=v&b=%20c",
        [](const std::string& text)
        {
            const std::array fields{net::header_field{"Retry-After", text}};
            return base::parse_time(text) || base::parse_endpoint(text) ||
                   front::parse_load(text) ||
                   front::parse_retry_after(fields) ||
                   !front::cookie_value(text, "l").empty() ||
                   net::query_value(text, "b");
        });
}

BOOST_AUTO_TEST_SUITE_END()
