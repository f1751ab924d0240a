// Builds one log line of key=value pairs.
//
// Values are escaped so that no caller's text can end a line, start another
// or add a pair: anything but printable ASCII without space, quote, backslash
// and '=' is written in quotes with escapes.
#pragma once

#include <string>
#include <string_view>

#include <fmt/format.h>

namespace waxwingvalve::base
{

// Appends `value` to `out`, quoted and escaped where needed.
void append_escaped(std::string& out, std::string_view value);

class log_line
{
public:
    // `key` must be a plain word; keys are always literals of the code.
    log_line& add(std::string_view key, std::string_view value)
    {
        append_key(key);
        append_escaped(text_, value);
        return *this;
    }

    template <class T>
    requires(!std::convertible_to<T, std::string_view>) log_line& add(
        std::string_view key, const T& value)
    {
        append_key(key);
        append_escaped(text_, fmt::format("{}", value));
        return *this;
    }

    std::string take() && { return std::move(text_); }

private:
    void append_key(std::string_view key);

    std::string text_;
};

} // namespace waxwingvalve::base
