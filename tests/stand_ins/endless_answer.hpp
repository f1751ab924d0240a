// Answers of faulty workers that have no end.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingvalve::stand_ins
{

// What a worker sends until the daemon closes the connection.
enum class endless_answer : std::uint8_t
{
    none,
    // A body that ends with the connection.
    body_until_close,
    chunks,
    // The same with status 503.
    refusal,
    one_byte_chunks,
    // Fields of the head.
    head,
};

// The kinds, `none` among them.
constexpr int endless_answers = 6;

// What bodies without end consist of.
constexpr char endless_content = 'x';

// How such an answer begins, and what follows again and again.
struct endless_bytes
{
    std::string head{};
    std::string block{};
};

// `fields` are whole lines of the head.
endless_bytes make_endless(endless_answer kind, std::string_view fields);

} // namespace waxwingvalve::stand_ins
