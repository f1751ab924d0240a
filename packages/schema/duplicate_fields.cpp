#include "schema/duplicate_fields.hpp"

#include <cstdint>
#include <set>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/object.hpp>
#include <boost/json/string.hpp>

namespace waxwingvalve::schema
{
namespace
{

namespace json = boost::json;

// Invariant: `open` holds the keys seen so far of each object that the parser
// is in, the innermost last.
struct duplicate_finder
{
    static constexpr std::size_t max_object_size = json::object::max_size();
    static constexpr std::size_t max_array_size = json::array::max_size();
    static constexpr std::size_t max_key_size = json::string::max_size();
    static constexpr std::size_t max_string_size = json::string::max_size();

    // NOLINTBEGIN(readability-identifier-naming): names given by Boost.JSON.
    bool on_document_begin(json::error_code&) { return true; }
    bool on_document_end(json::error_code&) { return true; }
    bool on_array_begin(json::error_code&) { return true; }
    bool on_array_end(std::size_t, json::error_code&) { return true; }
    bool on_object_begin(json::error_code&)
    {
        open.emplace_back();
        return true;
    }
    bool on_object_end(std::size_t, json::error_code&)
    {
        open.pop_back();
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, json::error_code&)
    {
        return true;
    }
    bool on_string(json::string_view, std::size_t, json::error_code&)
    {
        return true;
    }
    bool on_key_part(json::string_view part, std::size_t, json::error_code&)
    {
        key += part;
        return true;
    }
    bool on_key(json::string_view part, std::size_t, json::error_code&)
    {
        key += part;
        if (!open.back().insert(key).second && duplicate.empty())
        {
            duplicate = key;
        }
        key.clear();
        return true;
    }
    bool on_number_part(json::string_view, json::error_code&) { return true; }
    bool on_int64(std::int64_t, json::string_view, json::error_code&)
    {
        return true;
    }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code&)
    {
        return true;
    }
    bool on_double(double, json::string_view, json::error_code&)
    {
        return true;
    }
    bool on_bool(bool, json::error_code&) { return true; }
    bool on_null(json::error_code&) { return true; }
    bool on_comment_part(json::string_view, json::error_code&) { return true; }
    bool on_comment(json::string_view, json::error_code&) { return true; }
    // NOLINTEND(readability-identifier-naming)

    std::vector<std::set<std::string>> open;
    std::string key;
    std::string duplicate;
};

} // namespace

std::optional<std::string> find_duplicate_field(std::string_view text)
{
    json::basic_parser<duplicate_finder> parser{json::parse_options{}};
    json::error_code failure;
    parser.write_some(false, text.data(), text.size(), failure);
    if (parser.handler().duplicate.empty())
    {
        return std::nullopt;
    }
    return parser.handler().duplicate;
}

} // namespace waxwingvalve::schema
