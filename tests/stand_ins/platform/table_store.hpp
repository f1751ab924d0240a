// The platform stand-in's tables and objects, in memory.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/json.hpp>

namespace waxwingvalve::stand_ins
{

struct stored_row
{
    std::string value{};
    // Counts the writes of this key, deletions included, so that a row that
    // was deleted and written anew never shows an old version.
    std::uint64_t version{};
    bool deleted{};
};

class table_store
{
public:
    // JSON of the row; nothing when it does not exist.
    std::optional<boost::json::object> read(
        const std::string& table, const std::string& key) const;

    boost::json::object scan(
        const std::string& table, std::string_view prefix) const;

    // Applies {conditions, writes} whole. Returns the row that stands in the
    // way, or nothing when it took effect.
    std::optional<boost::json::object> commit(const boost::json::object& in);

private:
    using row_key = std::pair<std::string, std::string>;

    std::uint64_t version_of(const row_key& key) const;

    std::map<row_key, stored_row> rows_;
};

} // namespace waxwingvalve::stand_ins
