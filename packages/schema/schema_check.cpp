#include "schema/schema_check.hpp"

#include <cstdint>
#include <limits>
#include <string>

#include <boost/json.hpp>
#include <flatbuffers/reflection.h>
#include <fmt/format.h>

#include "schema/duplicate_fields.hpp"

namespace waxwingvalve::schema
{
namespace
{

namespace json = boost::json;
using base::result;
using base::result_code;

// The whole number that a field of this type can hold.
struct integer_range
{
    std::int64_t lowest{};
    std::uint64_t highest{};
};

template <class T>
constexpr integer_range range_of()
{
    return {
        static_cast<std::int64_t>(std::numeric_limits<T>::min()),
        static_cast<std::uint64_t>(std::numeric_limits<T>::max())};
}

integer_range range_of(reflection::BaseType type)
{
    switch (type)
    {
    case reflection::Byte:
        return range_of<std::int8_t>();
    case reflection::UByte:
        return range_of<std::uint8_t>();
    case reflection::Short:
        return range_of<std::int16_t>();
    case reflection::UShort:
        return range_of<std::uint16_t>();
    case reflection::Int:
        return range_of<std::int32_t>();
    case reflection::UInt:
        return range_of<std::uint32_t>();
    case reflection::Long:
        return range_of<std::int64_t>();
    default:
        return range_of<std::uint64_t>();
    }
}

auto malformed(std::string detail)
{
    return base::fail(result_code::settings_malformed, std::move(detail));
}

auto wrong_value(
    const std::string& path,
    std::string_view expected,
    const json::value& found)
{
    constexpr std::size_t shown_bytes = 60;
    return malformed(fmt::format(
        "{}: expected {}, found {}",
        path,
        expected,
        json::serialize(found).substr(0, shown_bytes)));
}

// Walks a value and the schema side by side.
class checker
{
public:
    explicit checker(const reflection::Schema& schema) : schema_{schema} {}

    result<void> check_table(
        const std::string& path,
        const json::value& value,
        const reflection::Object& table) const
    {
        const auto* object = value.if_object();
        if (object == nullptr)
        {
            return wrong_value(
                path.empty() ? "file" : path, "an object", value);
        }
        for (const auto& [name, member] : *object)
        {
            const std::string key{name};
            const auto inner =
                path.empty() ? key : fmt::format("{}.{}", path, key);
            const auto* field = table.fields()->LookupByKey(key.c_str());
            if (field == nullptr)
            {
                return malformed(fmt::format(
                    "{}: expected {}, found an unknown field",
                    inner,
                    field_names(table)));
            }
            BOOST_OUTCOME_TRY(check_value(
                inner, member, *field->type(), field->type()->base_type()));
        }
        return check_required(path, *object, table);
    }

private:
    static std::string field_names(const reflection::Object& table)
    {
        std::string out{"one of"};
        for (const auto* field : *table.fields())
        {
            out += ' ';
            out += field->name()->string_view();
        }
        return out;
    }

    static result<void> check_required(
        const std::string& path,
        const json::object& object,
        const reflection::Object& table)
    {
        for (const auto* field : *table.fields())
        {
            const auto name = field->name()->string_view();
            if (field->required() && !object.contains(name))
            {
                return malformed(fmt::format(
                    "{}{}{}: expected a value, found none",
                    path,
                    path.empty() ? "" : ".",
                    name));
            }
        }
        return base::success();
    }

    result<void> check_value(
        const std::string& path,
        const json::value& value,
        const reflection::Type& type,
        reflection::BaseType kind) const
    {
        switch (kind)
        {
        case reflection::String:
            return value.is_string() ? result<void>{base::success()}
                                     : wrong_value(path, "a string", value);
        case reflection::Bool:
            return value.is_bool() ? result<void>{base::success()}
                                   : wrong_value(path, "true or false", value);
        case reflection::Double:
            return value.is_number() ? result<void>{base::success()}
                                     : wrong_value(path, "a number", value);
        case reflection::Vector:
            return check_vector(path, value, type);
        case reflection::Obj:
            return check_table(path, value, object_at(type.index()));
        default:
            return check_integer(path, value, type, kind);
        }
    }

    result<void> check_vector(
        const std::string& path,
        const json::value& value,
        const reflection::Type& type) const
    {
        const auto* array = value.if_array();
        if (array == nullptr)
        {
            return wrong_value(path, "a list", value);
        }
        for (std::size_t at = 0; at < array->size(); ++at)
        {
            BOOST_OUTCOME_TRY(check_value(
                fmt::format("{}[{}]", path, at),
                array->at(at),
                type,
                type.element()));
        }
        return base::success();
    }

    result<void> check_integer(
        const std::string& path,
        const json::value& value,
        const reflection::Type& type,
        reflection::BaseType kind) const
    {
        if (type.index() >= 0)
        {
            return check_enum(path, value, type.index());
        }
        const auto range = range_of(kind);
        const bool fits =
            value.is_uint64()
                ? value.get_uint64() <= range.highest
                : value.is_int64() && value.get_int64() >= range.lowest &&
                      (value.get_int64() < 0 ||
                       static_cast<std::uint64_t>(value.get_int64()) <=
                           range.highest);
        if (!fits)
        {
            return wrong_value(
                path,
                fmt::format(
                    "a whole number from {} to {}",
                    range.lowest,
                    range.highest),
                value);
        }
        return base::success();
    }

    result<void> check_enum(
        const std::string& path,
        const json::value& value,
        std::int32_t index) const
    {
        const auto* values =
            schema_.enums()->Get(static_cast<std::uint32_t>(index))->values();
        std::string names{"one of"};
        for (const auto* one : *values)
        {
            const auto name = one->name()->string_view();
            if (value.is_string() && value.get_string() == name)
            {
                return base::success();
            }
            names += ' ';
            names += name;
        }
        return wrong_value(path, names, value);
    }

    const reflection::Object& object_at(std::int32_t index) const
    {
        return *schema_.objects()->Get(static_cast<std::uint32_t>(index));
    }

    const reflection::Schema& schema_;
};

} // namespace

result<void> check_json(const json_schema& schema, std::string_view text)
{
    json::error_code failure;
    const auto value = json::parse(text, failure);
    if (failure)
    {
        return malformed("expected JSON, found: " + failure.message());
    }
    if (const auto twice = find_duplicate_field(text))
    {
        return malformed(
            *twice + ": expected a field once in its object, found it twice");
    }
    const auto* compiled = reflection::GetSchema(schema.compiled.data());
    const std::string root{schema.root_table};
    const auto* table = compiled->objects()->LookupByKey(root.c_str());
    if (table == nullptr)
    {
        return base::fail(result_code::internal, root);
    }
    return checker{*compiled}.check_table("", value, *table);
}

} // namespace waxwingvalve::schema
