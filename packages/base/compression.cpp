#include "base/compression.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <new>

#include <zlib.h>

namespace waxwingvalve::base
{

namespace
{

constexpr std::size_t chunk_bytes = 16 * 1024;

// zlib reads through a pointer that isn't const, and writes nothing there.
Bytef* input_of(std::string_view bytes)
{
    return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

class inflater
{
public:
    inflater()
    {
        if (inflateInit(&stream_) != Z_OK)
        {
            throw std::bad_alloc{};
        }
    }
    ~inflater() { inflateEnd(&stream_); }
    inflater(const inflater&) = delete;
    inflater& operator=(const inflater&) = delete;

    z_stream& stream() { return stream_; }

private:
    z_stream stream_{};
};

} // namespace

std::string compress(std::string_view bytes)
{
    auto size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    const auto status = compress2(
        reinterpret_cast<Bytef*>(compressed.data()),
        &size,
        input_of(bytes),
        bytes.size(),
        Z_BEST_SPEED);
    if (status != Z_OK)
    {
        throw std::bad_alloc{};
    }
    compressed.resize(size);
    compressed.shrink_to_fit();
    return compressed;
}

std::optional<std::string> decompress(
    std::string_view compressed, std::size_t max_bytes)
{
    if (compressed.size() > std::numeric_limits<uInt>::max())
    {
        return std::nullopt;
    }
    inflater inflating;
    auto& stream = inflating.stream();
    stream.next_in = input_of(compressed);
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string bytes;
    std::array<char, chunk_bytes> chunk{};
    for (;;)
    {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = chunk_bytes;
        const auto status = inflate(&stream, Z_NO_FLUSH);
        if (status != Z_OK && status != Z_STREAM_END)
        {
            return std::nullopt;
        }
        const auto size = chunk_bytes - stream.avail_out;
        if (size > max_bytes - bytes.size())
        {
            return std::nullopt;
        }
        bytes.append(chunk.data(), size);
        if (status == Z_STREAM_END)
        {
            break;
        }
    }
    const bool whole = stream.avail_in == 0;
    return whole ? std::optional{std::move(bytes)} : std::nullopt;
}

} // namespace waxwingvalve::base
