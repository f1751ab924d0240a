// Reads the HTTP/1.1 messages of one connection from bytes as they arrive.
//
// Every reader of a peer's bytes uses it, so that one place decides what a
// message may cost: the head, the body, the framing of a chunked body, and the
// bytes that are buffered because they end in the middle of one of these. All
// of it is within message_limits and counted against a memory budget, by the
// memory that it takes and not by its bytes: a body that grows is moved into
// larger memory, and both are there meanwhile. The bytes of a peer cause no
// exception here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "base/byte_budget.hpp"
#include "net/message_parser.hpp"

namespace waxwingvalve::net
{

enum class read_event : std::uint8_t
{
    // No further event before more bytes are appended.
    need_more,
    // The head is complete and the body is not. Reported once a message.
    head,
    // The message is complete; take() gives it.
    message,
    // The message cannot be read; fault() says why. Nobody knows where the next
    // message begins, so stop() follows and the connection is closed.
    refused,
};

// A message and the memory that it is counted for.
template <bool is_request>
struct received_message
{
    typename message_parser<is_request>::message_type message{};
    base::byte_hold memory{};
    // Memory that is enough to read such a message, in bytes.
    std::uint64_t needed_memory{};
    // The sender lets the connection carry another message.
    bool keep_alive{};
    // Value of the field Keep-Alive, which `message` does not have.
    std::string keep_alive_field{};
};

template <bool is_request>
class message_reader
{
public:
    // Counts no memory: the limits alone bound what it takes.
    message_reader() = default;
    // The budget has to outlive the reader and its messages.
    explicit message_reader(base::byte_budget& memory) : memory_{memory} {}
    explicit message_reader(std::shared_ptr<base::byte_budget> memory)
        : memory_{std::move(memory)}
    {
    }

    // Sets memory aside for the next message. What that takes beyond is taken
    // from the reader's budget by this claim.
    void set_aside(base::byte_hold memory, base::byte_claim beyond);

    // Starts to read a message; buffered bytes belong to it.
    // `without_body`: it ends with its head, whatever that says, as the answer
    // to a HEAD request does.
    void begin(const message_limits& limits, bool without_body = false);
    // Gives up the message that is being read. Buffered bytes stay.
    void stop();
    // A message was begun and neither taken nor stopped.
    bool reading() const { return parser_.has_value(); }

    void append(boost::asio::const_buffer bytes);
    // Bytes that no message has used yet.
    std::size_t buffered() const { return buffer_.size(); }
    void discard_buffered();

    // Parses up to the next event. Only while reading().
    read_event next();
    // The peer has ended the connection, in order. Returns true if that
    // completes the message, because it states no length.
    bool end_of_input();
    message_fault fault() const { return fault_; }
    // Bytes of the message that were read so far.
    std::uint64_t bytes_read() const { return bytes_read_; }

    bool head_complete() const;
    // What has come of the message that is being read.
    const typename message_parser<is_request>::message_type& partial() const
    {
        return parser_->message();
    }
    bool continue_expected() const { return parser_->continue_expected(); }

    // The complete message. Ends reading().
    received_message<is_request> take();

private:
    read_event refuse(message_fault fault);
    read_event refuse_for_memory();
    bool framing_within_limits(std::size_t used, std::size_t content);
    bool count_memory(std::uint64_t bytes);
    std::uint64_t beyond_set_aside(std::uint64_t bytes) const;
    std::uint64_t body_memory() const;
    std::uint64_t memory_taken(std::uint64_t body) const;
    bool make_room_for_body();
    bool move_body(std::size_t capacity);
    bool has_chunk_tail() const;
    void shrink_buffer();

    // Invariant: while reading, holds the memory of the body, or the length
    // that a request states, and what the head and the buffer take beyond
    // `uncounted_bytes`.
    base::byte_hold memory_{};
    // Memory that is held whether or not the message takes it.
    base::byte_hold set_aside_{};
    message_limits limits_{};
    // Engaged while a message is read.
    std::optional<message_parser<is_request>> parser_{};
    boost::beast::flat_buffer buffer_{};
    std::size_t head_bytes_{0};
    std::size_t framing_bytes_{0};
    // With plain size lines, too.
    std::uint64_t all_framing_bytes_{0};
    std::uint64_t bytes_read_{0};
    // Most memory of the message so far, also if it was refused.
    std::uint64_t most_memory_{0};
    bool head_reported_{false};
    message_fault fault_{message_fault::none};
};

extern template class message_reader<true>;
extern template class message_reader<false>;

using request_reader = message_reader<true>;
using answer_reader = message_reader<false>;

} // namespace waxwingvalve::net
