#include "net/message_reader.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include <boost/beast/http/error.hpp>

namespace waxwingvalve::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

// Head and buffered bytes up to this size belong to the cost of an open
// connection and are not counted.
constexpr std::size_t uncounted_bytes = 12 * 1024;
// What the allocator and the two strings of a field add to its bytes.
constexpr std::size_t field_overhead_bytes = 32;
// The first memory of a body whose length isn't known or not believed yet.
constexpr std::size_t first_body_bytes = 4 * 1024;
// A chunk's size line with the line end before it: CRLF, 16 digits, CRLF.
constexpr std::size_t plain_line_bytes = 20;
// The shortest end of a chunked body: "0", CRLF, CRLF.
constexpr std::size_t chunk_tail_bytes = 5;
// A larger buffer is given back when it is empty.
constexpr std::size_t kept_buffer_bytes = 8 * 1024;

// A line that begins with a blank continues the value before it, or is a field
// whose name holds a blank: readers disagree (RFC 9112, section 5.2).
bool has_folded_line(std::string_view head)
{
    constexpr std::string_view blanks{" \t"};
    for (auto end = head.find("\r\n"); end != std::string_view::npos;
         end = head.find("\r\n", end + 1))
    {
        const auto next = head.substr(end + 2, 1);
        if (!next.empty() && blanks.find(next) != std::string_view::npos)
        {
            return true;
        }
    }
    return false;
}

} // namespace

template <bool is_request>
void message_reader<is_request>::begin(
    const message_limits& limits, bool without_body)
{
    limits_ = limits;
    parser_.emplace(limits);
    parser_->skip(without_body);
    head_bytes_ = 0;
    framing_bytes_ = 0;
    all_framing_bytes_ = 0;
    bytes_read_ = 0;
    most_memory_ = 0;
    head_reported_ = false;
    fault_ = message_fault::none;
    memory_.release();
}

template <bool is_request>
void message_reader<is_request>::stop()
{
    parser_.reset();
    memory_.release();
    set_aside_.release();
}

template <bool is_request>
void message_reader<is_request>::set_aside(
    base::byte_hold memory, base::byte_claim beyond)
{
    set_aside_ = std::move(memory);
    memory_.set_claim(beyond);
}

template <bool is_request>
void message_reader<is_request>::append(asio::const_buffer bytes)
{
    buffer_.commit(asio::buffer_copy(buffer_.prepare(bytes.size()), bytes));
}

template <bool is_request>
void message_reader<is_request>::discard_buffered()
{
    buffer_.consume(buffer_.size());
    shrink_buffer();
}

template <bool is_request>
void message_reader<is_request>::shrink_buffer()
{
    if (buffer_.size() == 0 && buffer_.capacity() > kept_buffer_bytes)
    {
        buffer_.shrink_to_fit();
    }
}

template <bool is_request>
bool message_reader<is_request>::head_complete() const
{
    return parser_ && parser_->is_header_done();
}

template <bool is_request>
read_event message_reader<is_request>::refuse(message_fault fault)
{
    fault_ = fault;
    memory_.release();
    return read_event::refused;
}

template <bool is_request>
read_event message_reader<is_request>::refuse_for_memory()
{
    const auto needed = beyond_set_aside(most_memory_);
    // Of an answer, which is not asked for again, half of its worker's part is
    // too much. A request that is smaller than its caller's part may come
    // again.
    constexpr std::uint64_t parts = is_request ? 1 : 2;
    const auto part = memory_.part_limit();
    if (part && needed > *part / parts)
    {
        return refuse(message_fault::body_too_large);
    }
    return refuse(
        memory_.over_part(needed) ? message_fault::sender_share
                                  : message_fault::no_memory);
}

// True if the parser can be given the buffered bytes. Beast asserts that the
// end of a chunked body, once its first line was seen, is never offered in
// fewer bytes than the shortest one has. At least as many are always to come
// until that body is complete.
template <bool is_request>
bool message_reader<is_request>::has_chunk_tail() const
{
    return !parser_->is_header_done() || !parser_->chunked() ||
           buffer_.size() >= chunk_tail_bytes;
}

template <bool is_request>
read_event message_reader<is_request>::next()
{
    while (buffer_.size() > 0 && has_chunk_tail())
    {
        if (!make_room_for_body())
        {
            return refuse_for_memory();
        }
        const bool in_head = !parser_->is_header_done();
        const auto body_before = parser_->message().body.size();
        beast::error_code failure;
        const auto used = parser_->put(buffer_.data(), failure);
        const std::string_view parsed{
            static_cast<const char*>(buffer_.data().data()), used};
        const bool folded = !is_request && in_head && has_folded_line(parsed);
        buffer_.consume(used);
        bytes_read_ += used;
        if (folded)
        {
            return refuse(message_fault::malformed);
        }
        if (failure && failure != http::error::need_more)
        {
            return refuse(parser_->fault_of(failure));
        }
        if (in_head)
        {
            // Beast limits what it is given at once, not the whole head.
            head_bytes_ += used;
            if (head_bytes_ > limits_.head_bytes)
            {
                return refuse(message_fault::head_too_large);
            }
        }
        else if (!framing_within_limits(
                     used, parser_->message().body.size() - body_before))
        {
            return refuse(message_fault::framing_too_large);
        }
        shrink_buffer();
        if (!count_memory(memory_taken(body_memory())))
        {
            return refuse_for_memory();
        }
        if (parser_->is_done())
        {
            return read_event::message;
        }
        if (parser_->is_header_done() && !head_reported_)
        {
            head_reported_ = true;
            return read_event::head;
        }
        if (used == 0 || failure)
        {
            break;
        }
    }
    return read_event::need_more;
}

// Takes memory for what is buffered, so that the parser's appending never does.
template <bool is_request>
bool message_reader<is_request>::make_room_for_body()
{
    if (!parser_->is_header_done())
    {
        return true;
    }
    const auto& body = parser_->message().body;
    const std::uint64_t stated = parser_->content_length().value_or(0);
    // A request's length is counted as soon as it is stated.
    const bool whole =
        stated > 0 &&
        (is_request || beyond_set_aside(memory_taken(stated)) == 0);
    const std::uint64_t needed = whole ? stated : body.size() + buffer_.size();
    if (needed <= body.capacity() || body.size() >= limits_.body_bytes)
    {
        return true;
    }
    if (whole)
    {
        return move_body(stated);
    }
    const auto most = stated > 0 ? stated : limits_.body_bytes;
    const auto doubled =
        std::max<std::uint64_t>(2 * body.capacity(), first_body_bytes);
    return move_body(std::max(std::min(doubled, most), needed));
}

template <bool is_request>
bool message_reader<is_request>::move_body(std::size_t capacity)
{
    auto& body = parser_->message().body;
    if (!count_memory(memory_taken(body_memory() + capacity)))
    {
        return false;
    }
    // A string that grows by itself takes more than it is asked for.
    std::string larger;
    larger.reserve(capacity);
    larger.append(body);
    body = std::move(larger);
    return count_memory(memory_taken(body_memory()));
}

// `used` bytes were parsed behind the head, `content` of them into the body.
template <bool is_request>
bool message_reader<is_request>::framing_within_limits(
    std::size_t used, std::size_t content)
{
    if (!parser_->chunked())
    {
        return true;
    }
    constexpr std::uint64_t framing_per_content = 2;
    const auto line = used - content;
    all_framing_bytes_ += line;
    if (all_framing_bytes_ >
        limits_.short_chunk_bytes +
            framing_per_content * parser_->message().body.size())
    {
        return false;
    }
    framing_bytes_ += line > plain_line_bytes ? line : 0;
    const auto unparsed = parser_->is_done() ? 0 : buffer_.size();
    // Nothing was parsed: what is buffered is a part of a line or trailer.
    return framing_bytes_ + (used == 0 ? unparsed : 0) <= limits_.framing_bytes;
}

// Growth may be refused; a message that takes less than before never is.
template <bool is_request>
bool message_reader<is_request>::count_memory(std::uint64_t bytes)
{
    most_memory_ = std::max(most_memory_, bytes);
    const auto beyond = beyond_set_aside(bytes);
    if (beyond < memory_.bytes())
    {
        memory_.resize(beyond);
        return true;
    }
    return memory_.try_grow(beyond);
}

template <bool is_request>
std::uint64_t message_reader<is_request>::beyond_set_aside(
    std::uint64_t bytes) const
{
    return bytes - std::min(bytes, set_aside_.bytes());
}

template <bool is_request>
std::uint64_t message_reader<is_request>::body_memory() const
{
    const auto capacity = parser_->message().body.capacity();
    // A short body is within the string itself.
    return capacity == std::string{}.capacity() ? 0 : capacity;
}

// Memory of the message, with so much for its body.
template <bool is_request>
std::uint64_t message_reader<is_request>::memory_taken(std::uint64_t body) const
{
    const auto& message = parser_->message();
    const std::uint64_t head =
        head_bytes_ + message.fields.capacity() * sizeof(header_field) +
        message.fields.size() * field_overhead_bytes;
    if (parser_->is_done())
    {
        return body + head;
    }
    // A request's length counts before its bytes come.
    const std::uint64_t stated = is_request && parser_->is_header_done()
                                     ? parser_->content_length().value_or(0)
                                     : 0;
    const std::uint64_t rest = head + buffer_.capacity();
    return std::max(body, stated) +
           (rest > uncounted_bytes ? rest - uncounted_bytes : 0);
}

template <bool is_request>
bool message_reader<is_request>::end_of_input()
{
    if (!head_complete() || !parser_->need_eof())
    {
        return false;
    }
    beast::error_code failure;
    parser_->put_eof(failure);
    return !failure && parser_->is_done();
}

template <bool is_request>
received_message<is_request> message_reader<is_request>::take()
{
    const auto taken = memory_taken(body_memory());
    // Memory for a stated length is taken at once where it is set aside.
    const auto needed = parser_->content_length() ? taken : most_memory_;
    if (set_aside_.bytes() > 0)
    {
        // The message no longer counts for its sender.
        memory_.release();
        set_aside_.resize(taken);
    }
    received_message<is_request> received{
        .message = std::move(parser_->message()),
        .memory =
            set_aside_.bytes() > 0 ? std::move(set_aside_) : memory_.take_all(),
        .needed_memory = needed,
        .keep_alive = parser_->keep_alive(),
        .keep_alive_field = parser_->keep_alive_field()};
    parser_.reset();
    return received;
}

template class message_reader<true>;
template class message_reader<false>;

} // namespace waxwingvalve::net
