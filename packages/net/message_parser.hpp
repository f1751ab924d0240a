// Fills a request or an answer from the bytes of HTTP/1.1.
//
// Derived from Beast's parser in place of http::parser, whose container of
// fields throws on a long value and takes trailer fields for header fields.
// Here every limit is an error code, and trailer fields are dropped.
#pragma once

#include <cstdint>
#include <string>
#include <type_traits>

#include <boost/beast/http/basic_parser.hpp>

#include "net/http_message.hpp"

namespace waxwingvalve::net
{

// Limits on one message.
struct message_limits
{
    // Start line and header fields, in bytes.
    std::uint32_t head_bytes{64 * 1024};
    // In bytes, without the framing of chunks.
    std::uint64_t body_bytes{1024 * 1024};
    // What a chunked body holds besides its content and plain size lines:
    // chunk extensions, padded sizes and the trailer, in bytes.
    std::uint32_t framing_bytes{16 * 1024};
    // All framing of a chunked body, plain size lines too, beyond twice its
    // content, in bytes. Chunks of single bytes pass up to a content of a
    // third.
    std::uint32_t short_chunk_bytes{64 * 1024};
    // Header and trailer fields together.
    std::uint32_t fields{1'000};
};

// Why a message cannot be read.
enum class message_fault : std::uint8_t
{
    none,
    // The bytes are not HTTP/1.1, or end in the middle of the message.
    malformed,
    // Two readers of the head could disagree where the request ends.
    ambiguous_length,
    head_too_large,
    body_too_large,
    // Over message_limits::framing_bytes.
    framing_too_large,
    // The memory budget has no room for the message.
    no_memory,
    // The sender's part of the memory budget has none.
    sender_share,
};

template <bool is_request>
class message_parser : public boost::beast::http::basic_parser<is_request>
{
public:
    using message_type =
        std::conditional_t<is_request, http_request, http_response>;
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    explicit message_parser(const message_limits& limits);

    message_type& message() { return message_; }
    const message_type& message() const { return message_; }

    // The value of the field Keep-Alive, which is not passed on.
    const std::string& keep_alive_field() const { return keep_alive_field_; }
    // The caller waits for "100 Continue" before it sends the body.
    bool continue_expected() const { return continue_expected_; }

    // The fault behind the error code that the last call of put() gave.
    message_fault fault_of(const error_code& failure) const;

private:
    using verb = boost::beast::http::verb;
    using field = boost::beast::http::field;

    void on_request_impl(
        verb method,
        string_view method_text,
        string_view target,
        int version,
        error_code& failure) override;
    void on_response_impl(
        int status,
        string_view reason,
        int version,
        error_code& failure) override;
    void on_field_impl(
        field name,
        string_view name_text,
        string_view value,
        error_code& failure) override;
    void on_header_impl(error_code& failure) override;
    void on_body_init_impl(
        const boost::optional<std::uint64_t>& length,
        error_code& failure) override;
    std::size_t on_body_impl(string_view body, error_code& failure) override;
    void on_chunk_header_impl(
        std::uint64_t size,
        string_view extensions,
        error_code& failure) override;
    std::size_t on_chunk_body_impl(
        std::uint64_t left, string_view body, error_code& failure) override;
    void on_finish_impl(error_code& failure) override;

    void note_length_field(field name, string_view value);
    void refuse(message_fault fault, error_code& failure);

    message_type message_;
    std::string keep_alive_field_;
    std::uint32_t max_fields_;
    std::uint32_t fields_{0};
    // Fields that say where the body ends.
    std::uint32_t length_fields_{0};
    bool plain_length_{true};
    // One of them is not a length of 0.
    bool states_body_{false};
    bool continue_expected_{false};
    // The head is complete: further fields are those of the trailer.
    bool head_complete_{false};
    // Set where Beast has no error code for the fault.
    message_fault fault_{message_fault::none};
};

extern template class message_parser<true>;
extern template class message_parser<false>;

} // namespace waxwingvalve::net
