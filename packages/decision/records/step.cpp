#include "decision/records/step.hpp"

#include <cstdint>

#include <boost/json.hpp>

namespace waxwingvalve::decision::records
{

namespace json = boost::json;

std::string text_at(const json::object& in, const char* key)
{
    const auto* value = in.if_contains(key);
    return value != nullptr && value->is_string()
               ? std::string{value->get_string()}
               : std::string{};
}

std::uint64_t number_at(const json::object& in, const char* key)
{
    const auto* value = in.if_contains(key);
    return value != nullptr && value->is_int64() && value->get_int64() > 0
               ? static_cast<std::uint64_t>(value->get_int64())
               : 0;
}

json::array to_json_array(const std::vector<step>& steps)
{
    json::array out;
    for (const auto& one : steps)
    {
        out.push_back(
            {{"action", one.action},
             {"by", one.by},
             {"operation", one.operation_id},
             {"signature", one.signature}});
    }
    return out;
}

std::vector<step> parse_steps(const json::object& in)
{
    std::vector<step> out;
    const auto* list = in.if_contains("steps");
    if (list == nullptr || !list->is_array())
    {
        return out;
    }
    for (const auto& entry : list->get_array())
    {
        if (const auto* one = entry.if_object())
        {
            out.push_back(
                {text_at(*one, "action"),
                 text_at(*one, "by"),
                 text_at(*one, "operation"),
                 text_at(*one, "signature")});
        }
    }
    return out;
}

} // namespace waxwingvalve::decision::records
