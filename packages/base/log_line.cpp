#include "base/log_line.hpp"

#include <algorithm>

namespace waxwingvalve::base
{
namespace
{

constexpr char first_printable = '!';
constexpr char last_printable = '~';

bool plain(char c)
{
    return c >= first_printable && c <= last_printable && c != '"' &&
           c != '\\' && c != '=';
}

} // namespace

void append_escaped(std::string& out, std::string_view value)
{
    if (!value.empty() && std::ranges::all_of(value, plain))
    {
        out += value;
        return;
    }
    out += '"';
    for (const char c : value)
    {
        if (plain(c) || c == ' ' || c == '=')
        {
            out += c;
        }
        else if (c == '"' || c == '\\')
        {
            out += '\\';
            out += c;
        }
        else
        {
            out += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        }
    }
    out += '"';
}

void log_line::append_key(std::string_view key)
{
    if (!text_.empty())
    {
        text_ += ' ';
    }
    text_ += key;
    text_ += '=';
}

} // namespace waxwingvalve::base
