#include "stand_ins/endless_answer.hpp"

#include <fmt/format.h>

namespace waxwingvalve::stand_ins
{

namespace
{

constexpr std::size_t block_bytes = 64 * 1024;
constexpr int chunks_of_a_block = 10'000;

std::string repeat(std::string_view text, int times)
{
    std::string made;
    for (int i = 0; i < times; ++i)
    {
        made += text;
    }
    return made;
}

} // namespace

endless_bytes make_endless(endless_answer kind, std::string_view fields)
{
    const auto status = kind == endless_answer::refusal ? "503 Busy" : "200 OK";
    const auto head = fmt::format("HTTP/1.1 {}\r\n{}", status, fields);
    const std::string content(block_bytes, endless_content);
    switch (kind)
    {
    case endless_answer::head:
        return {head, repeat("X-More: 1\r\n", chunks_of_a_block)};
    case endless_answer::chunks:
        return {
            head + "Transfer-Encoding: chunked\r\n\r\n",
            fmt::format("{:x}\r\n{}\r\n", block_bytes, content)};
    case endless_answer::one_byte_chunks:
        return {
            head + "Transfer-Encoding: chunked\r\n\r\n",
            repeat("1\r\nx\r\n", chunks_of_a_block)};
    default:
        return {head + "\r\n", content};
    }
}

} // namespace waxwingvalve::stand_ins
