#include "outside_bytes/mutated_bytes.hpp"

#include <algorithm>
#include <array>

namespace waxwingvalve::tests
{
namespace
{

// What parsers treat in a special way.
constexpr std::array<std::string_view, 30> special_texts{
    "\r\n",
    "\r",
    "\n",
    "\r\n\r\n",
    "0\r\n",
    "0\r\n\r\n",
    "ffffffffffffffff\r\n",
    ";a=\"",
    ":",
    " ",
    "\t",
    ",",
    "\"",
    "{",
    "[",
    "}",
    "]",
    "\\u0000",
    "====",
    "99999999999999999999",
    "-1",
    "1e999",
    "4294967297",
    "null",
    "Content-Length: 5\r\n",
    "Transfer-Encoding: chunked\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 200 OK\r\n",
    "\xff\xfe",
    "\x80"};

} // namespace

std::size_t byte_mutator::number(std::size_t below)
{
    return below == 0 ? 0 : random_() % below;
}

std::string byte_mutator::mutate(std::string_view valid, int max_changes)
{
    std::string bytes{valid};
    const auto changes = number(static_cast<std::size_t>(max_changes) + 1);
    for (std::size_t i = 0; i < changes; ++i)
    {
        change(bytes);
    }
    return bytes;
}

void byte_mutator::change(std::string& bytes)
{
    constexpr std::size_t longest_run = 40'000;
    const auto at = number(bytes.size());
    const auto length = number(std::min<std::size_t>(bytes.size() - at, 40));
    switch (number(7))
    {
    case 0:
        if (!bytes.empty())
        {
            bytes[at] = static_cast<char>(number(256));
        }
        break;
    case 1:
        bytes.insert(at, 1, static_cast<char>(number(256)));
        break;
    case 2:
        bytes.erase(at, length);
        break;
    case 3:
        bytes.insert(at, std::string{bytes, at, length});
        break;
    case 4:
        bytes.resize(at);
        break;
    case 5:
        bytes.insert(at, special_texts.at(number(special_texts.size())));
        break;
    default:
        // Rarely, as these take long.
        if (number(8) == 0)
        {
            const char repeated = bytes.empty() ? '[' : bytes[at];
            bytes.insert(at, number(longest_run), repeated);
        }
        break;
    }
}

std::vector<std::string_view> byte_mutator::cut(std::string_view bytes)
{
    constexpr std::size_t longest_piece = 64;
    constexpr std::size_t read_bytes = 8 * 1024;
    const auto longest = number(4) == 0 ? read_bytes : longest_piece;
    std::vector<std::string_view> pieces;
    while (!bytes.empty())
    {
        const auto size = std::min(bytes.size(), 1 + number(longest));
        pieces.push_back(bytes.substr(0, size));
        bytes.remove_prefix(size);
    }
    return pieces;
}

} // namespace waxwingvalve::tests
