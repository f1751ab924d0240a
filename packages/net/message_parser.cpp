#include "net/message_parser.hpp"

#include <algorithm>
#include <string_view>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace waxwingvalve::net
{

namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

// RFC 9110, section 15.
constexpr int lowest_status = 100;
constexpr int highest_status = 599;
constexpr unsigned first_final_status = 200;
constexpr unsigned status_no_content = 204;

std::string_view plain_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool all_digits(std::string_view text)
{
    return std::ranges::all_of(
        text, [](char c) { return c >= '0' && c <= '9'; });
}

} // namespace

template <bool is_request>
message_parser<is_request>::message_parser(const message_limits& limits)
    : max_fields_{limits.fields}
{
    this->eager(false);
    this->header_limit(limits.head_bytes);
    this->body_limit(limits.body_bytes);
}

template <bool is_request>
message_fault message_parser<is_request>::fault_of(
    const error_code& failure) const
{
    if (fault_ != message_fault::none)
    {
        return fault_;
    }
    if (failure == http::error::header_limit)
    {
        return message_fault::head_too_large;
    }
    if (failure == http::error::body_limit)
    {
        return message_fault::body_too_large;
    }
    // What these name is what makes two readers of the same bytes disagree.
    if (failure == http::error::multiple_content_length ||
        failure == http::error::bad_content_length ||
        failure == http::error::bad_transfer_encoding)
    {
        return message_fault::ambiguous_length;
    }
    return message_fault::malformed;
}

template <bool is_request>
void message_parser<is_request>::refuse(
    message_fault fault, error_code& failure)
{
    fault_ = fault;
    failure = http::error::bad_field;
}

template <bool is_request>
void message_parser<is_request>::on_request_impl(
    [[maybe_unused]] verb method,
    [[maybe_unused]] string_view method_text,
    [[maybe_unused]] string_view target,
    int /*version*/,
    error_code& failure)
{
    failure = {};
    if constexpr (is_request)
    {
        message_.method = plain_view(method_text);
        message_.target = plain_view(target);
    }
}

template <bool is_request>
void message_parser<is_request>::on_response_impl(
    [[maybe_unused]] int status,
    string_view /*reason*/,
    int /*version*/,
    error_code& failure)
{
    failure = {};
    if constexpr (!is_request)
    {
        if (status < lowest_status || status > highest_status)
        {
            refuse(message_fault::malformed, failure);
            return;
        }
        message_.status = static_cast<unsigned>(status);
    }
}

template <bool is_request>
void message_parser<is_request>::on_field_impl(
    field name, string_view name_text, string_view value, error_code& failure)
{
    failure = {};
    ++fields_;
    if (fields_ > max_fields_)
    {
        refuse(
            head_complete_ ? message_fault::framing_too_large
                           : message_fault::head_too_large,
            failure);
        return;
    }
    if (head_complete_)
    {
        return;
    }
    if (name == field::keep_alive)
    {
        keep_alive_field_ = plain_view(value);
    }
    if (name == field::expect)
    {
        continue_expected_ = beast::iequals(value, "100-continue");
    }
    note_length_field(name, value);
    if (!hop_by_hop(plain_view(name_text)))
    {
        message_.fields.push_back({std::string{name_text}, std::string{value}});
    }
}

// Two lengths, a list of them, a length beside a chunked body or an encoding
// that does not end the body mean that two readers of the same bytes can
// disagree where a message ends (RFC 9112, section 6.3). Beast takes a list
// for its first length and an unknown encoding for no body.
template <bool is_request>
void message_parser<is_request>::note_length_field(
    field name, string_view value)
{
    if (name == field::content_length)
    {
        ++length_fields_;
        plain_length_ = plain_length_ && all_digits(plain_view(value));
        states_body_ = states_body_ || plain_view(value).find_first_not_of(
                                           '0') != std::string_view::npos;
    }
    if (name == field::transfer_encoding)
    {
        ++length_fields_;
        plain_length_ = plain_length_ && beast::iequals(value, "chunked");
        states_body_ = true;
    }
}

template <bool is_request>
void message_parser<is_request>::on_header_impl(error_code& failure)
{
    failure = {};
    head_complete_ = true;
    if (length_fields_ > 1 || !plain_length_)
    {
        refuse(message_fault::ambiguous_length, failure);
        return;
    }
    if constexpr (!is_request)
    {
        // Such an answer has no body (RFC 9112, section 6.3): what it states
        // would be taken for the next answer.
        const bool bodiless = message_.status < first_final_status ||
                              message_.status == status_no_content;
        if (bodiless && states_body_)
        {
            refuse(message_fault::ambiguous_length, failure);
        }
    }
}

template <bool is_request>
void message_parser<is_request>::on_body_init_impl(
    const boost::optional<std::uint64_t>& /*length*/, error_code& failure)
{
    failure = {};
}

template <bool is_request>
std::size_t message_parser<is_request>::on_body_impl(
    string_view body, error_code& failure)
{
    failure = {};
    message_.body.append(body.data(), body.size());
    return body.size();
}

template <bool is_request>
void message_parser<is_request>::on_chunk_header_impl(
    std::uint64_t /*size*/, string_view /*extensions*/, error_code& failure)
{
    failure = {};
}

template <bool is_request>
std::size_t message_parser<is_request>::on_chunk_body_impl(
    std::uint64_t /*left*/, string_view body, error_code& failure)
{
    return on_body_impl(body, failure);
}

template <bool is_request>
void message_parser<is_request>::on_finish_impl(error_code& failure)
{
    failure = {};
}

template class message_parser<true>;
template class message_parser<false>;

} // namespace waxwingvalve::net
