#include "stand_ins/platform/table_store.hpp"

namespace waxwingvalve::stand_ins
{
namespace
{

namespace json = boost::json;

std::string text_at(const json::object& in, std::string_view key)
{
    return json::value_to<std::string>(in.at(key));
}

json::object to_json(const std::string& key, const stored_row& row)
{
    return {{"key", key}, {"value", row.value}, {"version", row.version}};
}

} // namespace

std::optional<json::object> table_store::read(
    const std::string& table, const std::string& key) const
{
    const auto found = rows_.find({table, key});
    if (found == rows_.end() || found->second.deleted)
    {
        return std::nullopt;
    }
    return to_json(key, found->second);
}

json::object table_store::scan(
    const std::string& table, std::string_view prefix) const
{
    json::array out;
    auto at = rows_.lower_bound({table, std::string{prefix}});
    for (; at != rows_.end(); ++at)
    {
        const auto& [row_table, key] = at->first;
        if (row_table != table || !key.starts_with(prefix))
        {
            break;
        }
        if (!at->second.deleted)
        {
            out.push_back(to_json(key, at->second));
        }
    }
    return {{"rows", std::move(out)}};
}

std::uint64_t table_store::version_of(const row_key& key) const
{
    const auto found = rows_.find(key);
    const bool absent = found == rows_.end() || found->second.deleted;
    return absent ? 0 : found->second.version;
}

std::optional<json::object> table_store::commit(const json::object& in)
{
    for (const auto& entry : in.at("conditions").as_array())
    {
        const auto& condition = entry.as_object();
        const row_key key{
            text_at(condition, "table"), text_at(condition, "key")};
        const auto wanted = condition.at("version").to_number<std::uint64_t>();
        if (version_of(key) != wanted)
        {
            return json::object{
                {"table", key.first},
                {"key", key.second},
                {"version", version_of(key)}};
        }
    }
    for (const auto& entry : in.at("writes").as_array())
    {
        const auto& write = entry.as_object();
        auto& row = rows_[{text_at(write, "table"), text_at(write, "key")}];
        const auto& value = write.at("value");
        row.deleted = value.is_null();
        row.value = row.deleted ? "" : json::value_to<std::string>(value);
        ++row.version;
    }
    return std::nullopt;
}

} // namespace waxwingvalve::stand_ins
