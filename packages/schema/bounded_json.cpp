#include "schema/bounded_json.hpp"

#include <cstddef>
#include <new>

#include <boost/json/memory_resource.hpp>
#include <boost/json/parser.hpp>
#include <boost/json/storage_ptr.hpp>

namespace waxwingvalve::schema
{

namespace json = boost::json;

namespace
{

class limited_resource final : public json::memory_resource
{
public:
    explicit limited_resource(std::size_t limit) : left_{limit} {}

private:
    // No type in JSON values needs more than the default alignment.
    void* do_allocate(std::size_t size, std::size_t /*alignment*/) override
    {
        if (size > left_)
        {
            throw std::bad_alloc{};
        }
        void* block = ::operator new(size);
        left_ -= size;
        return block;
    }
    void do_deallocate(
        void* block, std::size_t size, std::size_t /*alignment*/) override
    {
        ::operator delete(block);
        left_ += size;
    }
    bool do_is_equal(const json::memory_resource& other) const noexcept override
    {
        return this == &other;
    }

    // Bytes that may still be taken.
    std::size_t left_;
};

} // namespace

std::optional<json::value> parse_bounded_json(std::string_view text)
{
    const auto memory = json::make_shared_resource<limited_resource>(
        json_base_bytes + json_bytes_per_text_byte * text.size());
    try
    {
        // Elements wait in the parser's own memory until their array ends.
        json::parser parser{memory};
        parser.reset(memory);
        boost::system::error_code failure;
        parser.write(text, failure);
        if (failure)
        {
            return std::nullopt;
        }
        return parser.release();
    }
    catch (const std::bad_alloc&)
    {
        return std::nullopt;
    }
}

} // namespace waxwingvalve::schema
