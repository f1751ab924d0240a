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
    json::array array;
    for (const auto& taken : steps)
    {
        array.push_back(
            {{"action", taken.action},
             {"by", taken.by},
             {"operation", taken.operation_id},
             {"signature", taken.signature}});
    }
    return array;
}

std::vector<step> parse_steps(const json::object& object)
{
    std::vector<step> steps;
    const auto* list = object.if_contains("steps");
    if (list == nullptr || !list->is_array())
    {
        return steps;
    }
    for (const auto& entry : list->get_array())
    {
        if (const auto* step_object = entry.if_object())
        {
            steps.push_back(
                {text_at(*step_object, "action"),
                 text_at(*step_object, "by"),
                 text_at(*step_object, "operation"),
                 text_at(*step_object, "signature")});
        }
    }
    return steps;
}

} // namespace waxwingvalve::decision::records
