#include "decision/records/step.hpp"

#include <cstdint>

#include <boost/json.hpp>

namespace waxwingvalve::decision::records
{

namespace json = boost::json;

std::string text_at(const json::object& object, const char* key)
{
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_string()
               ? std::string{value->get_string()}
               : std::string{};
}

std::uint64_t number_at(const json::object& object, const char* key)
{
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_int64() && value->get_int64() > 0
               ? static_cast<std::uint64_t>(value->get_int64())
               : 0;
}

json::array to_json_array(const std::vector<step>& steps)
{
    json::array result;
    for (const auto& one : steps)
    {
        result.push_back(
            {{"action", one.action},
             {"by", one.by},
             {"operation", one.operation_id},
             {"signature", one.signature}});
    }
    return result;
}

std::vector<step> parse_steps(const json::object& object)
{
    std::vector<step> result;
    const auto* list = object.if_contains("steps");
    if (list == nullptr || !list->is_array())
    {
        return result;
    }
    for (const auto& entry : list->get_array())
    {
        if (const auto* one = entry.if_object())
        {
            result.push_back(
                {text_at(*one, "action"),
                 text_at(*one, "by"),
                 text_at(*one, "operation"),
                 text_at(*one, "signature")});
        }
    }
    return result;
}

} // namespace waxwingvalve::decision::records
