// Compression of bytes that daemons send each other, in the zlib format.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingvalve::base
{

std::string compress(std::string_view bytes);

// The bytes that compress() was given; nothing if `compressed` is anything else
// or they are more than `max_bytes`. Takes no more memory than that and its own
// small buffers, whatever the input.
std::optional<std::string> decompress(
    std::string_view compressed, std::size_t max_bytes);

} // namespace waxwingvalve::base
