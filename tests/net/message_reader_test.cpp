// Tests of the reader of HTTP/1.1 messages: what framing may cost, messages in
// pieces of any size, and bytes that end or never end.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <ostream>
#include <string>
#include <string_view>

#include "net/message_reader.hpp"

using namespace waxwingvalve;
using net::message_fault;
using net::read_event;

namespace
{

constexpr net::message_limits limits{
    .head_bytes = 4 * 1024,
    .body_bytes = 64 * 1024,
    .framing_bytes = 2 * 1024,
    .short_chunk_bytes = 1024,
    .fields = 100};

constexpr std::string_view chunked_answer_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view chunked_request_head =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

// Gives `bytes` to the reader in pieces of `piece` bytes. Returns the first
// event that ends the message, or need_more.
template <class Reader>
read_event feed(Reader& reader, std::string_view bytes, std::size_t piece)
{
    while (!bytes.empty())
    {
        const auto part = bytes.substr(0, piece);
        bytes.remove_prefix(part.size());
        reader.append(boost::asio::buffer(part));
        auto event = reader.next();
        while (event == read_event::head)
        {
            event = reader.next();
        }
        if (event != read_event::need_more)
        {
            return event;
        }
    }
    return read_event::need_more;
}

// Feeds `unit` again and again, up to `most` bytes. Returns how many bytes were
// given before the reader refused the message; `most` if it never did.
template <class Reader>
std::size_t feed_without_end(
    Reader& reader, std::string_view unit, std::size_t most)
{
    std::size_t given = 0;
    while (given < most)
    {
        given += unit.size();
        if (feed(reader, unit, unit.size()) == read_event::refused)
        {
            return given;
        }
    }
    return most;
}

struct endless_input
{
    std::string_view name;
    std::string_view begin;
    std::string_view repeated;
    message_fault fault;
};

std::ostream& operator<<(std::ostream& out, const endless_input& input)
{
    return out << input.name;
}

constexpr std::array endless_answers{
    endless_input{
        "a size of a chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1111111111111111",
        message_fault::framing_too_large},
    endless_input{
        "bytes where the second size is due",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "zzzzzzzzzzzzzzzz",
        message_fault::framing_too_large},
    endless_input{
        "an extension of a chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=\"",
        "\r\n\r\n\r\n\r\n",
        message_fault::framing_too_large},
    endless_input{
        "chunks with extensions",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa=b\r\nx\r\n",
        message_fault::framing_too_large},
    endless_input{
        "chunks with padded sizes",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "00000000000000000000000000000000000001\r\nx\r\n",
        message_fault::framing_too_large},
    endless_input{
        "trailer fields",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "Name: value\r\n",
        message_fault::framing_too_large},
    endless_input{
        "one trailer field",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nName: ",
        "vvvvvvvvvvvvvvvv",
        message_fault::framing_too_large},
    endless_input{
        "header fields",
        "HTTP/1.1 200 OK\r\n",
        "Name: value\r\n",
        message_fault::head_too_large},
    // The parser looks at one byte behind a field, and begins anew with it.
    endless_input{
        "header fields, each in a read of its own",
        "HTTP/1.1 200 OK\r\nN",
        "ame: vvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvv\r\nN",
        message_fault::head_too_large},
    endless_input{
        "one header field",
        "HTTP/1.1 200 OK\r\nName: ",
        "vvvvvvvvvvvvvvvv",
        message_fault::head_too_large},
    endless_input{
        "chunks",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "8\r\nabcdefgh\r\n",
        message_fault::body_too_large},
    endless_input{
        "chunks of one byte",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1\r\nx\r\n1\r\ny\r\n",
        message_fault::framing_too_large},
    endless_input{
        "a body without length",
        "HTTP/1.1 200 OK\r\n\r\n",
        "abcdefgh",
        message_fault::body_too_large}};

// The bytes that a message may have before it is refused for the fault.
std::size_t bound_of(message_fault fault)
{
    switch (fault)
    {
    case message_fault::head_too_large:
        return limits.head_bytes;
    case message_fault::framing_too_large:
        return limits.framing_bytes;
    default:
        // Short chunks double it.
        return 2 * limits.body_bytes;
    }
}

struct whole_answer
{
    std::string_view name;
    std::string_view bytes;
    std::string_view body;
};

std::ostream& operator<<(std::ostream& out, const whole_answer& answer)
{
    return out << answer.name;
}

constexpr std::array whole_answers{
    whole_answer{
        "with a length",
        "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 3\r\n\r\nabc",
        "abc"},
    whole_answer{
        "in chunks",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
        "1\r\na\r\n2;x=\"y\"\r\nbc\r\n0\r\n\r\n",
        "abc"},
    whole_answer{
        "in chunks without content",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
        "0\r\n\r\n",
        ""},
    whole_answer{
        "in chunks with a trailer",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
        "3\r\nabc\r\n0\r\nA: c\r\nB: d\r\n\r\n",
        "abc"},
    whole_answer{
        "without a body", "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n", ""}};

} // namespace

BOOST_AUTO_TEST_SUITE(message_readers)

// Guards against a peer that fills the memory with bytes that complete nothing.
BOOST_DATA_TEST_CASE(
    bytes_without_end_are_refused_within_the_limits, endless_answers, input)
{
    net::answer_reader reader;
    reader.begin(limits);
    BOOST_REQUIRE(
        feed(reader, input.begin, input.begin.size()) == read_event::need_more);
    const auto bound = bound_of(input.fault) + 2 * input.repeated.size();
    const auto given = feed_without_end(reader, input.repeated, 2 * bound);
    BOOST_TEST(given <= bound);
    BOOST_TEST((reader.fault() == input.fault));
    BOOST_TEST(reader.buffered() <= bound);
}

// A sender that sends each byte by itself.
BOOST_AUTO_TEST_CASE(short_bodies_may_come_in_chunks_of_one_byte)
{
    constexpr int content = 20'000;
    std::string bytes{chunked_answer_head};
    for (int i = 0; i < content; ++i)
    {
        bytes += "1\r\nx\r\n";
    }
    net::answer_reader reader;
    reader.begin({});
    BOOST_REQUIRE(
        (feed(reader, bytes + "0\r\n\r\n", 8'192) == read_event::message));
    BOOST_TEST(reader.take().message.body.size() == 20'000U);
}

// Guards against the end of the process by a long field in a trailer, for which
// Beast's container of fields throws.
BOOST_AUTO_TEST_CASE(a_trailer_over_the_limit_is_refused)
{
    const std::string trailer =
        "0\r\nLong: " + std::string(70'000, 'x') + "\r\n\r\n";
    for (const std::size_t piece : {1UL, 64UL, 8'192UL, 100'000UL})
    {
        BOOST_TEST_CONTEXT("pieces of " << piece)
        {
            net::answer_reader answer;
            answer.begin(limits);
            BOOST_TEST(
                (feed(
                     answer,
                     std::string{chunked_answer_head} + trailer,
                     piece) == read_event::refused));
            BOOST_TEST((answer.fault() == message_fault::framing_too_large));

            net::request_reader request;
            request.begin(limits);
            BOOST_TEST(
                (feed(
                     request,
                     std::string{chunked_request_head} + trailer,
                     piece) == read_event::refused));
            BOOST_TEST((request.fault() == message_fault::framing_too_large));
        }
    }
}

// A limit on the head that is above what Beast's container takes.
BOOST_AUTO_TEST_CASE(a_long_header_field_within_the_limit_is_read)
{
    const std::string value(100'000, 'v');
    net::request_reader reader;
    reader.begin({.head_bytes = 200'000});
    const auto bytes = "GET / HTTP/1.1\r\nLong: " + value + "\r\n\r\n";
    BOOST_REQUIRE((feed(reader, bytes, 8'192) == read_event::message));
    const auto received = reader.take();
    BOOST_TEST((net::find_field(received.message.fields, "Long") == value));
}

// Guards against the end of the process by the end of a chunked body that comes
// in pieces, which a Beast parser asserts not to see.
BOOST_DATA_TEST_CASE(
    a_message_in_pieces_of_any_size_is_read_whole, whole_answers, answer)
{
    for (std::size_t piece = 1; piece <= answer.bytes.size(); ++piece)
    {
        BOOST_TEST_CONTEXT("pieces of " << piece)
        {
            net::answer_reader reader;
            reader.begin(limits);
            BOOST_REQUIRE(
                (feed(reader, answer.bytes, piece) == read_event::message));
            const auto received = reader.take();
            BOOST_TEST(received.message.body == answer.body);
            BOOST_TEST((net::find_field(received.message.fields, "A") == "b"));
            BOOST_TEST(received.message.fields.size() == 1U);
            BOOST_TEST(reader.buffered() == 0U);
        }
    }
}

// Guards against an answer that breaks off and is passed on as complete: in its
// head, in a chunk or before the stated length.
BOOST_DATA_TEST_CASE(
    a_message_that_breaks_off_is_never_complete, whole_answers, answer)
{
    for (std::size_t size = 0; size < answer.bytes.size(); ++size)
    {
        BOOST_TEST_CONTEXT("the first " << size << " bytes")
        {
            net::answer_reader reader;
            reader.begin(limits);
            BOOST_TEST(
                (feed(reader, answer.bytes.substr(0, size), 8'192) ==
                 read_event::need_more));
            BOOST_TEST(!reader.end_of_input());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_body_without_length_is_complete_at_the_end_only)
{
    constexpr std::string_view head = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n";
    for (std::size_t size = 0; size < head.size(); ++size)
    {
        net::answer_reader reader;
        reader.begin(limits);
        BOOST_TEST(
            (feed(reader, head.substr(0, size), 3) == read_event::need_more));
        BOOST_TEST(!reader.end_of_input());
    }
    net::answer_reader reader;
    reader.begin(limits);
    BOOST_TEST((feed(reader, head, 3) == read_event::need_more));
    BOOST_TEST((feed(reader, "abc", 1) == read_event::need_more));
    BOOST_REQUIRE(reader.end_of_input());
    const auto received = reader.take();
    BOOST_TEST(received.message.body == "abc");
    BOOST_TEST(!received.keep_alive);
}

BOOST_AUTO_TEST_CASE(buffered_bytes_belong_to_the_next_message)
{
    net::request_reader reader;
    reader.begin(limits);
    BOOST_REQUIRE(
        (feed(
             reader,
             "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
             1'000) == read_event::message));
    BOOST_TEST(reader.take().message.target == "/a");
    BOOST_TEST(!reader.reading());
    reader.begin(limits);
    BOOST_REQUIRE((reader.next() == read_event::message));
    BOOST_TEST(reader.take().message.target == "/b");
    BOOST_TEST(reader.buffered() == 0U);
}

BOOST_AUTO_TEST_CASE(a_message_is_counted_against_the_memory)
{
    base::byte_budget memory{50'000};
    net::request_reader reader{memory};
    reader.begin(limits);
    BOOST_TEST(
        (feed(
             reader,
             "POST / HTTP/1.1\r\nContent-Length: 40000\r\n\r\n",
             1'000) == read_event::need_more));
    BOOST_TEST(memory.used() == 40'000U);

    net::request_reader second{memory};
    second.begin(limits);
    BOOST_TEST(
        (feed(
             second,
             "POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n",
             1'000) == read_event::refused));
    BOOST_TEST((second.fault() == message_fault::no_memory));

    BOOST_REQUIRE(
        (feed(reader, std::string(40'000, 'x'), 8'192) == read_event::message));
    {
        const auto received = reader.take();
        BOOST_TEST(memory.used() >= 40'000U);
        BOOST_TEST(received.memory.bytes() == memory.used());
    }
    BOOST_TEST(memory.used() == 0U);
}

// Heads up to 16 KiB belong to the cost of a connection.
BOOST_AUTO_TEST_CASE(long_heads_are_counted_while_they_are_read)
{
    base::byte_budget memory{100'000};
    net::request_reader reader{memory};
    reader.begin({.head_bytes = 64 * 1024});
    BOOST_TEST(
        (feed(
             reader,
             "GET / HTTP/1.1\r\nLong: " + std::string(40'000, 'v'),
             4'096) == read_event::need_more));
    BOOST_TEST(memory.used() > 20'000U);
    reader.stop();
    BOOST_TEST(memory.used() == 0U);
}

BOOST_AUTO_TEST_CASE(trailer_fields_are_no_header_fields)
{
    net::request_reader reader;
    reader.begin(limits);
    const auto bytes =
        std::string{chunked_request_head} + "0\r\nAttempt-Id: other\r\n\r\n";
    BOOST_REQUIRE((feed(reader, bytes, 7) == read_event::message));
    const auto received = reader.take();
    BOOST_TEST(
        !net::find_field(received.message.fields, "Attempt-Id").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
